package laurelkeel.testbed;

import java.util.Map;
import laurelkeel.records.RecordClock;
import laurelkeel.records.TrafficRecord;

/**
 * The properties that all simulated servers share.
 *
 * @param queueLimit maximum number of requests queued at a server; further ones are rejected
 * @param connectionLimit maximum number of open connections of a server
 * @param workTicks mean duration of a request's work, by route
 * @param routePolicies idempotency and deduplication of requests, by route
 * @param warmUpInitialShare share of its capacity that a cold server has at its start
 * @param warmUpTicks time until a cold server has its full capacity
 * @param overloadMultiple multiple of its current capacity beyond which a cold server stops
 * @param overloadWindowTicks window in which arrivals are counted for that
 * @param cachedKeySavings share of the work that is saved if the server has recently seen the partition key
 * @param keyCacheTicks how long a server caches a partition key
 * @param loadReportIntervalTicks interval at which a server refreshes its load report
 * @param responseBytes size of a response's body; 0 for a short text without padding
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

    /**
     * Returns the requests per second that one warm server can handle with equal numbers of requests for each route.
     */
    public double capacityPerSecond() {
        double meanTicks =
                workTicks.values().stream().mapToLong(Long::longValue).average().orElse(1);
        return cores * RecordClock.TICKS_PER_SECOND / meanTicks;
    }
}
