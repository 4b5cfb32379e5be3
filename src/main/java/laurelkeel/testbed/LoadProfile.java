package laurelkeel.testbed;

import java.util.List;
import java.util.Map;

/**
 * What load clients offer.
 *
 * @param tenantShares weight of each tenant; empty for calls without a tenant
 * @param requestsPerSecond calls begun a second, whatever the responses (open loop)
 * @param keyCount number of partition keys
 * @param keyPopularityExponent exponent of the keys' Zipf distribution; 0 for all alike
 * @param keylessShare share of calls without a partition key
 * @param maxRetries retries of one call
 * @param earlyCloseShare share of requests that the client abandons early
 * @param complaintShare share of wrong answers about which the client complains
 */
public record LoadProfile(
        List<LoadRoute> routes,
        Map<String, Double> tenantShares,
        double requestsPerSecond,
        int keyCount,
        double keyPopularityExponent,
        double keylessShare,
        int maxRetries,
        double earlyCloseShare,
        double complaintShare) {}
