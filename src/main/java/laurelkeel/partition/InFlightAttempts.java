package laurelkeel.partition;

import static laurelkeel.partition.ConcurrentRollouts.NO_BUILD;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntPredicate;

/** Counts the attempts in flight in all partitions, by key and build. Not thread-safe. */
final class InFlightAttempts {
    private final Map<String, TreeMap<Integer, Integer>> countsByKey = new HashMap<>();

    void onSent(String key, int build) {
        countsByKey.computeIfAbsent(key, unused -> new TreeMap<>()).merge(build, 1, Integer::sum);
    }

    /** Records the end of an attempt; ignores an attempt that was not recorded as sent. */
    void onEnded(String key, int build) {
        TreeMap<Integer, Integer> counts = countsByKey.get(key);
        if (counts == null) {
            return;
        }
        counts.computeIfPresent(build, (unused, count) -> count > 1 ? count - 1 : null);
        if (counts.isEmpty()) {
            countsByKey.remove(key);
        }
    }

    /**
     * Returns the latest build that has an attempt for a key in flight, among those that a predicate accepts.
     *
     * @return {@link ConcurrentRollouts#NO_BUILD} if there is none
     */
    int latestBuild(String key, IntPredicate accepts) {
        TreeMap<Integer, Integer> counts = countsByKey.get(key);
        if (counts == null) {
            return NO_BUILD;
        }
        for (int build : counts.descendingKeySet()) {
            if (accepts.test(build)) {
                return build;
            }
        }
        return NO_BUILD;
    }
}
