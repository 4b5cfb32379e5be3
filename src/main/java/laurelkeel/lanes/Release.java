package laurelkeel.lanes;

import laurelkeel.api.Event.Phase;
import laurelkeel.api.Event.ReleaseNews;

/** Where one build stands, by the last news of it. */
record Release(int build, int stage, double cap, Phase phase) {

    static Release of(ReleaseNews n) {
        return new Release(n.build(), n.stage(), n.cap(), n.phase());
    }

    boolean onTrial() {
        return phase == Phase.TRIAL;
    }

    boolean sentBack() {
        return phase == Phase.GOING_BACK || phase == Phase.WITHDRAWN;
    }
}
