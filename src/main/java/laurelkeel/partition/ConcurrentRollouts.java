package laurelkeel.partition;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.OptionalDouble;
import java.util.TreeMap;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Event.RolloutUpdate;
import org.jspecify.annotations.Nullable;

/** The state of every rollout, and the released build, by the updates of the control service. Not thread-safe. */
final class ConcurrentRollouts {
    /** Stands for a build where there is none. */
    static final int NO_BUILD = -1;

    private final List<Double> stageExposureCaps;
    private final TreeMap<Integer, RolloutRecord> states = new TreeMap<>();
    private int releasedBuild = NO_BUILD;
    private int minimumBaseline = NO_BUILD;

    /** @param stageExposureCaps for each stage, the share of requests that a build may get, from 0 to 1 */
    ConcurrentRollouts(List<Double> stageExposureCaps) {
        this.stageExposureCaps = stageExposureCaps;
    }

    /**
     * Takes an update; the release of a build ends all earlier rollouts.
     *
     * @return whether it changed anything
     */
    boolean apply(RolloutUpdate update) {
        RolloutRecord state = RolloutRecord.of(update);
        RolloutRecord previous = states.put(state.build(), state);
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

    /** The state of a build's rollout, or null where no update named it or a later build has been released. */
    @Nullable
    RolloutRecord find(int build) {
        return states.get(build);
    }

    /** All states, by ascending build. */
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

    /** Whether a build is known to be rolled back or to be on its way there. */
    boolean isRolledBack(int build) {
        RolloutRecord state = states.get(build);
        return state != null && state.isRolledBack();
    }

    /** The latest build that was released, or {@link #NO_BUILD}. */
    int releasedBuild() {
        return releasedBuild;
    }

    /**
     * A canary that has served as the baseline of a partition that was closed, or {@link #NO_BUILD}: no partition goes
     * back to an earlier baseline while it lasts.
     */
    int minimumBaseline() {
        return minimumBaseline;
    }

    void raiseMinimumBaseline(int build) {
        minimumBaseline = Math.max(minimumBaseline, build);
    }

    /** Whether a sticky key that this build has served may go to no earlier build. */
    boolean bindsStickyKeys(int build) {
        return build > releasedBuild && !isRolledBack(build);
    }

    /**
     * The share of all requests that a build may get, from 0 to 1; empty where the build is bound by no cap.
     *
     * <p>A build later than all that updates named has the cap of the first stage: its rollout may have begun.
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
