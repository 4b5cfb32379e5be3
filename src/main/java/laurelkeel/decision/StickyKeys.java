package laurelkeel.decision;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The oldest build that each partition key may still be sent to, if keys are sticky.
 *
 * <p>A key is bound to a build that has served it, and to a build with an attempt of the key in flight, whose endpoint may
 * have served it already although the answer has not been read from the connection.
 */
final class StickyKeys {
    /** The key is bound to no build. */
    static final int NO_BUILD = -1;

    /** Bounds the memory used; beyond it, no further keys are sent to a canary build. */
    private static final int MAX_SERVED_KEYS = 200_000;

    private final Map<String, Integer> newestServingBuild = new HashMap<>();
    /** Number of attempts in flight, by key and build. */
    private final Map<String, TreeMap<Integer, Integer>> inFlight = new HashMap<>();

    /** Records that an attempt is sent to a build newer than the stable one. */
    void attemptSent(String partitionKey, int build) {
        inFlight.computeIfAbsent(partitionKey, key -> new TreeMap<>()).merge(build, 1, Integer::sum);
    }

    /** Records the end of an attempt; has no effect if the attempt was never recorded as sent. */
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
        newestServingBuild.merge(partitionKey, build, Math::max);
    }

    /** Returns the oldest build that a key may be sent to, or {@link #NO_BUILD} if any build may serve it. */
    int oldestAllowedBuild(String partitionKey) {
        TreeMap<Integer, Integer> attempts = inFlight.get(partitionKey);
        int newestInFlight = attempts == null ? NO_BUILD : attempts.lastKey();
        return Math.max(newestInFlight, newestServingBuild.getOrDefault(partitionKey, NO_BUILD));
    }

    /** Returns whether no further key may be bound. */
    boolean isFull() {
        return newestServingBuild.size() >= MAX_SERVED_KEYS;
    }

    /** Unbinds the keys of a build that is rolled back. */
    void buildRolledBack(int build) {
        newestServingBuild.values().removeIf(servingBuild -> servingBuild == build);
        inFlight.values().forEach(attempts -> attempts.remove(build));
        inFlight.values().removeIf(TreeMap::isEmpty);
    }

    /** Unbinds the keys of a released build and of older ones; builds older than it receive no more attempts. */
    void buildReleased(int build) {
        newestServingBuild.values().removeIf(servingBuild -> servingBuild <= build);
        inFlight.values().forEach(attempts -> attempts.headMap(build, true).clear());
        inFlight.values().removeIf(TreeMap::isEmpty);
    }
}
