package laurelkeel.testbed;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The state of a rollout, as the service sends it to watchers and in answers to votes.
 *
 * @param answer the answer to a vote; null in updates
 * @param ageMillis how long the rollout has been in its stage
 * @param buildsInService builds that are not rolled back
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record RolloutUpdateMessage(
        String kind,
        @Nullable String answer,
        int build,
        int stage,
        @JsonProperty("cap") double exposureCap,
        String phase,
        @JsonProperty("ageMs") double ageMillis,
        @JsonProperty("standing") List<Integer> buildsInService,
        @JsonProperty("blame") String attribution) {
    static final String UPDATE = "news";
    static final String VOTE_ANSWER = "vote";

    /** Returns a copy for delivery after a delay, with the age increased by it. */
    RolloutUpdateMessage delayedBy(double delayMillis) {
        return new RolloutUpdateMessage(
                kind, answer, build, stage, exposureCap, phase, ageMillis + delayMillis, buildsInService, attribution);
    }
}
