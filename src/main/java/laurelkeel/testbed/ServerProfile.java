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
        int room,
        int connections,
        Map<String, Long> work,
        Map<String, TrafficRecord.RoutePolicy> rules,
        double coldFrom,
        long coldFor,
        double tipMultiple,
        long tipAfter,
        double warmKeys,
        long keyMemory,
        long loadEvery,
        int answerBytes) {

    /** Reqs a second of one warm machine, were all routes asked alike. */
    public double capacity() {
        double mean =
                work.values().stream().mapToLong(Long::longValue).average().orElse(1);
        return cores * 10_000 / mean;
    }
}
