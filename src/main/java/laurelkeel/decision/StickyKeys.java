package laurelkeel.decision;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The oldest build that each partition key may still be sent to, where keys are sticky.
 *
 * <p>A build binds a key by serving it, and for as long as an attempt of the key is in flight there: the endpoint may have
 * served it already, with the answer unread on a silent connection.
 */
final class StickyKeys {
    /** No build binds the key. */
    static final int NO_BUILD = -1;

    /** Bounds the memory: no further keys are exposed to a canary build beyond it. */
    private static final int MAX_SERVED_KEYS = 200_000;

    private final Map<String, Integer> servedBy = new HashMap<>();
    /** Number of attempts in flight, by key and build. */
    private final Map<String, TreeMap<Integer, Integer>> inFlight = new HashMap<>();

    /** Records that an attempt is sent to a build newer than the stable one. */
    void attemptSent(String partitionKey, int build) {
        inFlight.computeIfAbsent(partitionKey, key -> new TreeMap<>()).merge(build, 1, Integer::sum);
    }

    /** Records the end of an attempt; one that was never recorded as sent changes nothing. */
    void attemptEnded(String partitionKey, int build) {
        TreeMap<Integer, Integer> attempts = inFlight.get(partitionKey);
        if (attempts == null) {
            return;
        }
        attempts.computeIfPresent(build, (key, count) -> count > 1 ? count - 1 : null);
        if (attempts.isEmpty()) {
            inFlight.remove(partitionKey);
        }
    }

    /** Records that a build has served a key, whether or not its answer could be read. */
    void served(String partitionKey, int build) {
        servedBy.merge(partitionKey, build, Math::max);
    }

    /** Returns the oldest build that a key may be sent to, or {@link #NO_BUILD} where any build may serve it. */
    int oldestAllowedBuild(String partitionKey) {
        TreeMap<Integer, Integer> attempts = inFlight.get(partitionKey);
        int newestInFlight = attempts == null ? NO_BUILD : attempts.lastKey();
        return Math.max(newestInFlight, servedBy.getOrDefault(partitionKey, NO_BUILD));
    }

    /** Whether no further key may become sticky. */
    boolean isFull() {
        return servedBy.size() >= MAX_SERVED_KEYS;
    }

    /** Frees the keys of a build that is taken back. */
    void buildRolledBack(int build) {
        servedBy.values().removeIf(by -> by == build);
        inFlight.values().forEach(attempts -> attempts.remove(build));
        inFlight.values().removeIf(TreeMap::isEmpty);
    }

    /** Frees the keys of a released build and of older ones: nothing is sent to a build older than it again. */
    void buildReleased(int build) {
        servedBy.values().removeIf(by -> by <= build);
        inFlight.values().forEach(attempts -> attempts.headMap(build, true).clear());
        inFlight.values().removeIf(TreeMap::isEmpty);
    }
}
