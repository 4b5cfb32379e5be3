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

/** JSON form of one line of the rollout watch, and of the response to a vote. */
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
     * Reads a line of the watch or a vote response from its JSON text.
     *
     * @return null if the text is the JSON value null
     * @throws InvalidMessageException if the text is not JSON of this form
     */
    static @Nullable RolloutJson read(String text) throws InvalidMessageException {
        try {
            return JSON.readValue(text, RolloutJson.class);
        } catch (JsonProcessingException e) {
            throw new InvalidMessageException("invalid JSON: " + e.getOriginalMessage());
        }
    }

    /**
     * Validates and converts a line of the watch.
     *
     * @return null for a heartbeat
     * @throws InvalidMessageException if a field is missing or invalid
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
     * Validates and converts the response to a vote.
     *
     * @throws InvalidMessageException if a field is missing or invalid
     */
    VoteResponse parseVoteResponse() throws InvalidMessageException {
        return new VoteResponse(ControlPlaneTerms.controlStatus(voteStatus), phase == null ? null : parseStatus());
    }

    private RolloutMessage.Status parseStatus() throws InvalidMessageException {
        RolloutPhase parsedPhase = ControlPlaneTerms.phase(phase);
        if (stage < 0) {
            throw new InvalidMessageException("stage is negative: " + stage);
        }
        if (!(exposureCap >= 0 && exposureCap <= 1)) {
            throw new InvalidMessageException("cap is not between 0 and 1: " + exposureCap);
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
                throw new InvalidMessageException("standing contains null");
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
            LOG.warn("unknown attribution '{}' of build {}; treating it as none", attribution, build);
            return Attribution.NONE;
        }
        return parsed;
    }
}
