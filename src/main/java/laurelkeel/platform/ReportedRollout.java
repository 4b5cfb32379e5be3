package laurelkeel.platform;

import laurelkeel.api.Event;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.RolloutPhase;

/**
 * The rollout state of the newest build as sent by the control service.
 *
 * @param stage stage of the rollout, from 0
 * @param exposureCap maximum share of the requests that the build may receive, from 0 to 1
 * @param ageTicks how long the rollout had been in this state when it was sent
 */
public record ReportedRollout(int build, int stage, RolloutPhase phase, double exposureCap, long ageTicks) {

    /**
     * Converts this state to an event for the decider.
     *
     * @param elapsedTicks time since the control service sent the state
     * @param answersVote whether the state is the reply to a vote of this node
     */
    Event.RolloutUpdate toUpdate(long elapsedTicks, boolean answersVote) {
        return new Event.RolloutUpdate(
                ControlStatus.OK, stage, exposureCap, ageTicks + elapsedTicks, phase, build, answersVote);
    }
}
