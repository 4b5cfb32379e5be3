package laurelkeel.front.controlplane;

import laurelkeel.api.Event.ControlStatus;
import org.jspecify.annotations.Nullable;

/**
 * The control service's answer to a vote, or that there was none.
 *
 * @param rollout where the rollout stands; null where the answer does not say or did not come
 */
public record VoteResponse(ControlStatus status, RolloutMessage.@Nullable Status rollout) {}
