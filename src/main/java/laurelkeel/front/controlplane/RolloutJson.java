package laurelkeel.front.controlplane;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.partition.PartitionedDecider.Attribution;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The JSON form of one line of the rollout's watch, and of the answer to a vote. */
@JsonIgnoreProperties(ignoreUnknown = true)
record RolloutJson(
        @Nullable String kind,
        @JsonProperty("answer") @Nullable String voteStatus,
        int build,
        int stage,
        @JsonProperty("cap") double exposureCap,
        @Nullable String phase,
        @JsonProperty("ageMs") double ageMillis,
        int route,
        @JsonProperty("tries") long attempts,
        long errors,
        @JsonProperty("meanMs") double meanMillis,
        @JsonProperty("standing") @Nullable List<@Nullable Integer> activeBuilds,
        @JsonProperty("blame") @Nullable String attribution) {
    private static final Logger LOG = LoggerFactory.getLogger(RolloutJson.class);
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Reads a line or an answer.
     *
     * @return null where it says null
     * @throws InvalidMessageException where it is no JSON of this form
     */
    static @Nullable RolloutJson read(String text) throws InvalidMessageException {
        try {
            return JSON.readValue(text, RolloutJson.class);
        } catch (JsonProcessingException e) {
            throw new InvalidMessageException("it could not be read: " + e.getOriginalMessage());
        }
    }

    /**
     * Checks and translates a line of the watch.
     *
     * @return null for a line that only shows that the service lives
     * @throws InvalidMessageException where a field cannot be followed
     */
    @Nullable
    RolloutMessage parse() throws InvalidMessageException {
        if (ControlPlaneTerms.HEARTBEAT.equals(kind)) {
            return null;
        }
        if (ControlPlaneTerms.STATISTICS.equals(kind)) {
            return new RolloutMessage.Statistics(
                    build, route, attempts, errors, meanMillis, ageMillis, parseAttribution());
        }
        return parseStatus();
    }

    /**
     * Checks and translates the answer to a vote.
     *
     * @throws InvalidMessageException where a field cannot be followed
     */
    VoteResponse parseVoteResponse() throws InvalidMessageException {
        return new VoteResponse(ControlPlaneTerms.controlStatus(voteStatus), phase == null ? null : parseStatus());
    }

    private RolloutMessage.Status parseStatus() throws InvalidMessageException {
        RolloutPhase parsedPhase = ControlPlaneTerms.phase(phase);
        if (stage < 0) {
            throw new InvalidMessageException("stage is " + stage);
        }
        if (!(exposureCap >= 0 && exposureCap <= 1)) {
            throw new InvalidMessageException("cap is " + exposureCap);
        }
        return new RolloutMessage.Status(
                build, stage, exposureCap, parsedPhase, ageMillis, parseActiveBuilds(), parseAttribution());
    }

    private @Nullable List<Integer> parseActiveBuilds() throws InvalidMessageException {
        if (activeBuilds == null) {
            return null;
        }
        List<Integer> builds = new ArrayList<>(activeBuilds.size());
        for (Integer activeBuild : activeBuilds) {
            if (activeBuild == null) {
                throw new InvalidMessageException("standing has a build that is null");
            }
            builds.add(activeBuild);
        }
        return builds;
    }

    private Attribution parseAttribution() {
        if (attribution == null) {
            return Attribution.NONE;
        }
        Attribution parsed = ControlPlaneTerms.attribution(attribution);
        if (parsed == null) {
            LOG.warn("the attribution '{}' of build {} is unknown and counts for none", attribution, build);
            return Attribution.NONE;
        }
        return parsed;
    }
}
