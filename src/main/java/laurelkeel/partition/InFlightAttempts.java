package laurelkeel.partition;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntPredicate;

/** Attempts that are out, in whichever lane, by key and build: any of them may have been answered already. */
final class InFlightAttempts {
    /** No attempt with the key is out. */
    static final int NONE = -1;

    private final Map<String, TreeMap<Integer, Integer>> counts = new HashMap<>();

    void sent(String key, int build) {
        counts.computeIfAbsent(key, k -> new TreeMap<>()).merge(build, 1, Integer::sum);
    }

    /** One that was not told as sent is passed over. */
    void ended(String key, int build) {
        TreeMap<Integer, Integer> builds = counts.get(key);
        if (builds == null) {
            return;
        }
        builds.computeIfPresent(build, (b, count) -> count > 1 ? count - 1 : null);
        if (builds.isEmpty()) {
            counts.remove(key);
        }
    }

    /** The latest build, of those that count, at which an attempt with the key is out. */
    int latest(String key, IntPredicate counting) {
        TreeMap<Integer, Integer> builds = counts.get(key);
        return builds == null
                ? NONE
                : builds.descendingKeySet().stream()
                        .filter(counting::test)
                        .findFirst()
                        .orElse(NONE);
    }
}
