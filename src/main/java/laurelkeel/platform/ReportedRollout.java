package laurelkeel.platform;

import laurelkeel.api.Event;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.RolloutPhase;

/**
 * The state of the newest build's rollout when the control service sent it.
 *
 * @param stage the rollout's stage, from 0
 * @param exposureCap share of the requests that the build may get
 * @param ageTicks how long it had been in this state
 */
public record ReportedRollout(int build, int stage, RolloutPhase phase, double exposureCap, long ageTicks) {

    /**
     * Returns the event for the decisions.
     *
     * @param elapsedTicks since the control service sent it
     * @param answersVote whether it answers a vote of this node
     */
    Event.RolloutUpdate toUpdate(long elapsedTicks, boolean answersVote) {
        return new Event.RolloutUpdate(
                ControlStatus.OK, stage, exposureCap, ageTicks + elapsedTicks, phase, build, answersVote);
    }
}
