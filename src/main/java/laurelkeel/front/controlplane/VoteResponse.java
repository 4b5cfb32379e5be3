package laurelkeel.front.controlplane;

import laurelkeel.api.Event.ControlStatus;
import org.jspecify.annotations.Nullable;

/**
 * The outcome of a vote: the control service's response, or that there was none.
 *
 * @param rollout the state of the rollout; null if the response does not include it or did not arrive
 */
public record VoteResponse(ControlStatus status, RolloutMessage.@Nullable Status rollout) {}
