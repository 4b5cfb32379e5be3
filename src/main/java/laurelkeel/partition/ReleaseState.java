package laurelkeel.partition;

import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Event.RolloutUpdate;

/** Where one build stands, by the last news of it. */
record ReleaseState(int build, int stage, double cap, RolloutPhase phase) {

    static ReleaseState of(RolloutUpdate n) {
        return new ReleaseState(n.build(), n.stage(), n.exposureCap(), n.phase());
    }

    boolean onTrial() {
        return phase == RolloutPhase.CANARY;
    }

    boolean sentBack() {
        return phase == RolloutPhase.ROLLING_BACK || phase == RolloutPhase.ROLLED_BACK;
    }
}
