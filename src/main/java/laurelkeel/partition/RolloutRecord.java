package laurelkeel.partition;

import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Event.RolloutUpdate;

/**
 * The state of one build's rollout, as of its most recent update.
 *
 * @param stage the rollout's stage, from 0
 * @param exposureCap the maximum share of the requests that the build may receive, from 0 to 1
 */
record RolloutRecord(int build, int stage, double exposureCap, RolloutPhase phase) {

    static RolloutRecord of(RolloutUpdate update) {
        return new RolloutRecord(update.build(), update.stage(), update.exposureCap(), update.phase());
    }

    /** Returns whether the build receives a limited share of the requests. */
    boolean isCanary() {
        return phase == RolloutPhase.CANARY;
    }

    /** Returns whether the build is being or has been rolled back. */
    boolean isRolledBack() {
        return phase == RolloutPhase.ROLLING_BACK || phase == RolloutPhase.ROLLED_BACK;
    }
}
