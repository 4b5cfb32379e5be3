package laurelkeel.testbed;

import java.util.Map;
import laurelkeel.records.RecordClock;
import laurelkeel.records.TrafficRecord;

/**
 * What all servers of a simulated fleet have in common.
 *
 * @param queueLimit requests that may wait at a server; it rejects further ones
 * @param connectionLimit connections that a server keeps open
 * @param workTicks mean work of a request, by route
 * @param routePolicies by route
 * @param warmUpInitialShare the share of its capacity that a cold server starts with
 * @param warmUpTicks until a cold server has its full capacity
 * @param overloadMultiple the multiple of its capacity at which a cold server fails
 * @param overloadWindowTicks the window over which that load is counted
 * @param cachedKeySavings the share of the work that a partition key saves where the server has seen it lately
 * @param keyCacheTicks how long a server remembers a partition key
 * @param loadReportIntervalTicks how often a server renews its load report
 * @param responseBytes size of a response's body; 0 for a short text
 */
public record ServerProfile(
        int cores,
        int queueLimit,
        int connectionLimit,
        Map<String, Long> workTicks,
        Map<String, TrafficRecord.RoutePolicy> routePolicies,
        double warmUpInitialShare,
        long warmUpTicks,
        double overloadMultiple,
        long overloadWindowTicks,
        double cachedKeySavings,
        long keyCacheTicks,
        long loadReportIntervalTicks,
        int responseBytes) {

    /** Requests a second of one warm server that gets as many of each route. */
    public double capacityPerSecond() {
        double meanTicks =
                workTicks.values().stream().mapToLong(Long::longValue).average().orElse(1);
        return cores * RecordClock.TICKS_PER_SECOND / meanTicks;
    }
}
