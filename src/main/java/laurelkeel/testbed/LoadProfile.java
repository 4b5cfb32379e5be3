package laurelkeel.testbed;

import java.util.List;
import java.util.Map;

/**
 * The load that clients offer.
 *
 * @param tenantShares weight of each tenant; empty for calls without a tenant
 * @param requestsPerSecond rate at which calls start, independent of the responses (open loop)
 * @param keyCount number of partition keys
 * @param keyPopularityExponent exponent of the keys' Zipf distribution; 0 for a uniform distribution
 * @param keylessShare share of calls without a partition key
 * @param maxRetries maximum number of retries of one call
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
