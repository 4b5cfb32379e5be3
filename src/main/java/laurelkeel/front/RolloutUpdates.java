package laurelkeel.front;

import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Event.RolloutUpdate;

/** Creates rollout updates that contain only the result of a vote. */
final class RolloutUpdates {
    private RolloutUpdates() {}

    /** Creates the update for a vote that could not be sent. */
    static RolloutUpdate voteFailed(int build) {
        return voteAnswered(ControlStatus.FAILED, build);
    }

    /** Creates the update for a vote whose response has no rollout status. */
    static RolloutUpdate voteAnswered(ControlStatus status, int build) {
        return new RolloutUpdate(status, 0, 0, 0, RolloutPhase.CANARY, build, true);
    }
}
