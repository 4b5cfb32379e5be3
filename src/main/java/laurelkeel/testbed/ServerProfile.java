package laurelkeel.testbed;

import java.util.Map;
import laurelkeel.records.TrafficRecord;

/**
 * What all machines of a stand-in fleet share; times in tenths of a millisecond.
 *
 * @param room reqs that may wait at a machine; past them it turns away, by its own word
 * @param work mean work by route
 * @param rules by route, for the memory of marks
 * @param warmKeys the part of the work that a key met within keyMemory saves
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

    /** Reqs a second of one warm machine, were all routes asked alike. */
    public double capacityPerSecond() {
        double mean =
                workTicks.values().stream().mapToLong(Long::longValue).average().orElse(1);
        return cores * 10_000 / mean;
    }
}
