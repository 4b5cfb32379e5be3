package laurelkeel.front;

import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Event.RolloutUpdate;

/** Makes rollout updates that hold nothing but how a vote ended. */
final class RolloutUpdates {
    private RolloutUpdates() {}

    /** The update for a vote that could not be sent. */
    static RolloutUpdate voteFailed(int build) {
        return voteAnswered(ControlStatus.FAILED, build);
    }

    /** The update for a vote whose answer says nothing of the rollout. */
    static RolloutUpdate voteAnswered(ControlStatus status, int build) {
        return new RolloutUpdate(status, 0, 0, 0, RolloutPhase.CANARY, build, true);
    }
}
