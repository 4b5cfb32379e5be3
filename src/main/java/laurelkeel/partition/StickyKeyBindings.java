package laurelkeel.partition;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Binds sticky keys to partitions, so that no key returns to an earlier build when the number of partitions changes.
 *
 * <p>Each decider ensures this for the answers of its own partition. This class records what only all partitions
 * together show: which partition served a key, and whether a later build has served the key in another partition or may
 * have served it. Not thread-safe.
 */
final class StickyKeyBindings {
    /** The partition id of a key that is not bound to a partition. */
    static final int NO_PARTITION = -1;

    /**
     * Limits the memory use. Keys beyond this number are not bound; they are reassigned whenever a partition opens or
     * closes.
     */
    private static final int MAX_KEYS = 600_000;

    /** The latest build that served a key, and the partition in which that build last served it. */
    private record KeyBinding(int partitionId, int build) {}

    private final boolean stickyKeys;
    private final ConcurrentRollouts rollouts;
    private final Map<String, KeyBinding> bindings = new HashMap<>();
    private final InFlightAttempts inFlight = new InFlightAttempts();

    /**
     * @param stickyKeys whether a key that a build has answered must not go to an earlier build during the rollout of
     *     that build
     */
    StickyKeyBindings(boolean stickyKeys, ConcurrentRollouts rollouts) {
        this.stickyKeys = stickyKeys;
        this.rollouts = rollouts;
    }

    void onAttemptSent(@Nullable String key, int build) {
        if (key != null && bindsKeys(build)) {
            inFlight.onSent(key, build);
        }
    }

    /**
     * Records the end of an attempt, and binds its key if the endpoint may have served it.
     *
     * @param mayHaveServed whether the endpoint has served the attempt or may have served it
     */
    void onAttemptEnded(@Nullable String key, int build, int partitionId, boolean mayHaveServed) {
        if (key == null) {
            return;
        }
        inFlight.onEnded(key, build);
        if (mayHaveServed && bindsKeys(build) && bindings.size() < MAX_KEYS) {
            // an attempt that was in flight when the partitions changed may end late, and at an earlier build
            bindings.merge(key, new KeyBinding(partitionId, build), StickyKeyBindings::withLaterBuild);
        }
    }

    private static KeyBinding withLaterBuild(KeyBinding existing, KeyBinding added) {
        return existing.build > added.build ? existing : added;
    }

    private boolean bindsKeys(int build) {
        return stickyKeys && rollouts.bindsStickyKeys(build);
    }

    /** Returns the partition that a key must stay in, or {@link #NO_PARTITION}. */
    int partitionOf(@Nullable String key) {
        KeyBinding binding = key == null ? null : bindings.get(key);
        return binding == null ? NO_PARTITION : binding.partitionId;
    }

    /**
     * Returns whether a partition's decider must not send a key to a build, because a later build has served the key in
     * another partition or may be serving it now.
     *
     * @param severalPartitions whether other partitions may have attempts in flight
     */
    boolean isServedByLaterBuild(@Nullable String key, int build, int partitionId, boolean severalPartitions) {
        if (key == null || !stickyKeys) {
            return false;
        }
        KeyBinding binding = bindings.get(key);
        if (binding != null
                && binding.partitionId != partitionId
                && build < binding.build
                && rollouts.bindsStickyKeys(binding.build)) {
            return true;
        }
        return severalPartitions && build < inFlight.latestBuild(key, rollouts::bindsStickyKeys);
    }

    /** Removes the keys of rollouts that have ended, to free capacity for the keys of ongoing rollouts. */
    void removeEndedRollouts() {
        bindings.values().removeIf(binding -> !rollouts.bindsStickyKeys(binding.build));
    }

    /** Returns the number of keys that are bound to a partition. */
    int size() {
        return bindings.size();
    }
}
