package laurelkeel.partition;

import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Event.RolloutUpdate;

/**
 * Where the rollout of one build stands, by its last update.
 *
 * @param stage the rollout's stage, from 0
 * @param exposureCap share of the requests that the build may get, from 0 to 1
 */
record RolloutRecord(int build, int stage, double exposureCap, RolloutPhase phase) {

    static RolloutRecord of(RolloutUpdate update) {
        return new RolloutRecord(update.build(), update.stage(), update.exposureCap(), update.phase());
    }

    /** Whether the build serves a limited share of the requests. */
    boolean isCanary() {
        return phase == RolloutPhase.CANARY;
    }

    /** Whether the build is being rolled back or has been. */
    boolean isRolledBack() {
        return phase == RolloutPhase.ROLLING_BACK || phase == RolloutPhase.ROLLED_BACK;
    }
}
