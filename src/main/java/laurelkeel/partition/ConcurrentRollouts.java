package laurelkeel.partition;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.OptionalDouble;
import java.util.TreeMap;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Event.RolloutUpdate;
import org.jspecify.annotations.Nullable;

/**
 * The state of every rollout and the released build, as of the latest updates of the control service. Not thread-safe.
 */
final class ConcurrentRollouts {
    /** The build number that represents the absence of a build. */
    static final int NO_BUILD = -1;

    private final List<Double> stageExposureCaps;
    private final TreeMap<Integer, RolloutRecord> states = new TreeMap<>();
    private int releasedBuild = NO_BUILD;
    private int minimumBaseline = NO_BUILD;

    /** @param stageExposureCaps for each stage, the maximum share of requests that a build may receive, from 0 to 1 */
    ConcurrentRollouts(List<Double> stageExposureCaps) {
        this.stageExposureCaps = stageExposureCaps;
    }

    /** Returns whether an update was sent before the latest one of the same build. */
    boolean isOvertaken(RolloutUpdate update, long nowTicks) {
        RolloutRecord state = states.get(update.build());
        return state != null && state.hasOvertaken(update, nowTicks);
    }

    /**
     * Applies an update. The release of a build ends all earlier rollouts.
     *
     * @return whether the state of the build's rollout has changed
     */
    boolean apply(RolloutUpdate update, long nowTicks) {
        RolloutRecord previous = states.get(update.build());
        RolloutRecord state = RolloutRecord.of(update, previous, nowTicks);
        states.put(state.build(), state);
        if (state.phase() == RolloutPhase.RELEASED && state.build() > releasedBuild) {
            releasedBuild = state.build();
            states.headMap(releasedBuild).clear();
            if (minimumBaseline <= releasedBuild) {
                minimumBaseline = NO_BUILD;
            }
        }
        if (!state.isCanary() && minimumBaseline == state.build()) {
            minimumBaseline = NO_BUILD;
        }
        return !state.equals(previous);
    }

    /** Returns the state of a build's rollout, or null if no update has named it or a later build has been released. */
    @Nullable
    RolloutRecord find(int build) {
        return states.get(build);
    }

    /** Returns the states of all rollouts, by ascending build. */
    Collection<RolloutRecord> all() {
        return Collections.unmodifiableCollection(states.values());
    }

    boolean isKnown(int build) {
        return states.containsKey(build);
    }

    boolean isCanary(int build) {
        RolloutRecord state = states.get(build);
        return state != null && state.isCanary();
    }

    /** Returns whether a build is known to be rolled back or in the process of being rolled back. */
    boolean isRolledBack(int build) {
        RolloutRecord state = states.get(build);
        return state != null && state.isRolledBack();
    }

    /** Returns the latest build that was released, or {@link #NO_BUILD}. */
    int releasedBuild() {
        return releasedBuild;
    }

    /**
     * Returns a canary that has served as the baseline of a closed partition, or {@link #NO_BUILD}. As long as it is a
     * canary, no partition returns to an earlier baseline.
     */
    int minimumBaseline() {
        return minimumBaseline;
    }

    void raiseMinimumBaseline(int build) {
        minimumBaseline = Math.max(minimumBaseline, build);
    }

    /** Returns whether a sticky key that this build has served must not go to an earlier build. */
    boolean bindsStickyKeys(int build) {
        return build > releasedBuild && !isRolledBack(build);
    }

    /**
     * Returns the maximum share of all requests that a build may receive, from 0 to 1; empty if the build has no cap.
     *
     * <p>A build that is later than all builds named in updates has the cap of the first stage, since its rollout may
     * have begun.
     */
    OptionalDouble exposureCap(int build) {
        RolloutRecord state = states.get(build);
        if (state == null) {
            boolean isAheadOfUpdates = !states.isEmpty() && build > states.lastKey();
            return isAheadOfUpdates ? OptionalDouble.of(stageExposureCaps.get(0)) : OptionalDouble.empty();
        }
        return state.isCanary() ? OptionalDouble.of(state.exposureCap()) : OptionalDouble.empty();
    }
}
