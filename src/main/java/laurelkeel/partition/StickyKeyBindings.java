package laurelkeel.partition;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Keeps sticky keys sticky while the number of partitions changes.
 *
 * <p>Each decider keeps a key from going back to an earlier build, by the answers of its own partition. This table adds
 * what only all partitions together know: which partition served a key, and that a later build has served it, or may
 * have, in another one. Not thread-safe.
 */
final class StickyKeyBindings {
    /** Stands for a partition where a key has none. */
    static final int NO_PARTITION = -1;

    /** Bounds the memory; keys beyond are divided anew whenever a partition opens or closes. */
    private static final int MAX_KEYS = 600_000;

    /** The partition that served a key last, and the latest build that served the key. */
    private record KeyBinding(int partitionId, int build) {}

    private final boolean stickyKeys;
    private final ConcurrentRollouts rollouts;
    private final Map<String, KeyBinding> bindings = new HashMap<>();
    private final InFlightAttempts inFlight = new InFlightAttempts();

    /** @param stickyKeys whether a key that a build has answered goes to no earlier build during its rollout */
    StickyKeyBindings(boolean stickyKeys, ConcurrentRollouts rollouts) {
        this.stickyKeys = stickyKeys;
        this.rollouts = rollouts;
    }

    void onAttemptSent(@Nullable String key, int build) {
        if (key != null && bindsKeys(build)) {
            inFlight.onSent(key, build);
        }
    }

    /** @param mayHaveServed whether the endpoint has served the attempt or may have */
    void onAttemptEnded(@Nullable String key, int build, int partitionId, boolean mayHaveServed) {
        if (key == null) {
            return;
        }
        inFlight.onEnded(key, build);
        if (mayHaveServed && bindsKeys(build) && bindings.size() < MAX_KEYS) {
            // an attempt that was in flight when the partitions changed may end late, at an earlier build
            bindings.merge(key, new KeyBinding(partitionId, build), StickyKeyBindings::withLaterBuild);
        }
    }

    private static KeyBinding withLaterBuild(KeyBinding known, KeyBinding ended) {
        return known.build > ended.build ? known : ended;
    }

    private boolean bindsKeys(int build) {
        return stickyKeys && rollouts.bindsStickyKeys(build);
    }

    /** The partition that a key has to stay in, or {@link #NO_PARTITION}. */
    int partitionOf(@Nullable String key) {
        KeyBinding binding = key == null ? null : bindings.get(key);
        return binding == null ? NO_PARTITION : binding.partitionId;
    }

    /**
     * Whether a partition's decider must not send a key to a build, since a later build has served the key in another
     * partition or may be serving it now.
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

    /** Forgets keys of rollouts that have ended, to make room for those of rollouts that last. */
    void forgetEndedRollouts() {
        bindings.values().removeIf(binding -> !rollouts.bindsStickyKeys(binding.build));
    }

    /** How many keys are bound to a partition. */
    int size() {
        return bindings.size();
    }
}
