package laurelkeel.partition;

import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Event.RolloutUpdate;
import org.jspecify.annotations.Nullable;

/**
 * The state of one build's rollout, as of its most recent update.
 *
 * @param stage the rollout's stage, from 0
 * @param exposureCap the maximum share of the requests that the build may receive, from 0 to 1
 * @param phaseStartedAtTicks when the phase began, by the update that announced it
 */
record RolloutRecord(int build, int stage, double exposureCap, RolloutPhase phase, long phaseStartedAtTicks) {

    /** Returns the state after an update, given the state before it, which is null if there is none. */
    static RolloutRecord of(RolloutUpdate update, @Nullable RolloutRecord previous, long nowTicks) {
        long startedAtTicks = previous != null && previous.phase == update.phase()
                ? previous.phaseStartedAtTicks
                : nowTicks - update.ageTicks();
        return new RolloutRecord(update.build(), update.stage(), update.exposureCap(), update.phase(), startedAtTicks);
    }

    /** Returns whether an update of this build was sent before the one that this state comes from. */
    boolean hasOvertaken(RolloutUpdate update, long nowTicks) {
        return update.isOvertakenBy(phase, phaseStartedAtTicks, nowTicks);
    }

    /** Returns whether the build receives a limited share of the requests. */
    boolean isCanary() {
        return phase == RolloutPhase.CANARY;
    }

    /** Returns whether the build is being or has been rolled back. */
    boolean isRolledBack() {
        return isRolledBack(phase);
    }

    static boolean isRolledBack(RolloutPhase phase) {
        return phase == RolloutPhase.ROLLING_BACK || phase == RolloutPhase.ROLLED_BACK;
    }
}
