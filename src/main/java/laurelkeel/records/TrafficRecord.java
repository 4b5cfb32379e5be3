package laurelkeel.records;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import laurelkeel.records.RecordTerms.DeduplicationScope;
import laurelkeel.records.RecordTerms.EndpointListKind;
import laurelkeel.records.RecordTerms.EndpointState;
import laurelkeel.records.RecordTerms.Idempotency;
import laurelkeel.records.RecordTerms.Outcome;
import laurelkeel.records.RecordTerms.RolloutPhase;
import laurelkeel.records.RecordTerms.StopReason;
import org.jspecify.annotations.Nullable;

/**
 * One line of a record file.
 *
 * <p>Times are ticks (tenths of a millisecond) of {@link RecordClock}. A request id identifies one request that a
 * client sends to a node; each retry by the client is a request with its own id and the same call id. An endpoint's
 * incarnation identifies one start of a server at its address, a node's incarnation one start of a node with its index.
 * Property and enumeration names are part of the stored form and must not change.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "k")
@JsonInclude(JsonInclude.Include.NON_NULL)
@JsonSubTypes({
    @JsonSubTypes.Type(value = TrafficRecord.AuditParameters.class, name = "rules"),
    @JsonSubTypes.Type(value = TrafficRecord.RequestSent.class, name = "asked"),
    @JsonSubTypes.Type(value = TrafficRecord.ResponseReceived.class, name = "answered"),
    @JsonSubTypes.Type(value = TrafficRecord.UnexpectedBytes.class, name = "stray"),
    @JsonSubTypes.Type(value = TrafficRecord.ConnectionBroken.class, name = "broke"),
    @JsonSubTypes.Type(value = TrafficRecord.ClientClosed.class, name = "left"),
    @JsonSubTypes.Type(value = TrafficRecord.NodeStarted.class, name = "frontUp"),
    @JsonSubTypes.Type(value = TrafficRecord.NodeStopped.class, name = "frontDown"),
    @JsonSubTypes.Type(value = TrafficRecord.EndpointListReceived.class, name = "toldList"),
    @JsonSubTypes.Type(value = TrafficRecord.RolloutUpdateReceived.class, name = "toldNews"),
    @JsonSubTypes.Type(value = TrafficRecord.ServerStarted.class, name = "machineUp"),
    @JsonSubTypes.Type(value = TrafficRecord.ServerStopped.class, name = "machineDown"),
    @JsonSubTypes.Type(value = TrafficRecord.AttemptArrived.class, name = "arrived"),
    @JsonSubTypes.Type(value = TrafficRecord.AttemptRejected.class, name = "turnedAway"),
    @JsonSubTypes.Type(value = TrafficRecord.AttemptExecuted.class, name = "ran"),
    @JsonSubTypes.Type(value = TrafficRecord.AttemptAnswered.class, name = "replied"),
    @JsonSubTypes.Type(value = TrafficRecord.VoteReceived.class, name = "voted"),
    @JsonSubTypes.Type(value = TrafficRecord.RolloutStageChanged.class, name = "stage"),
    @JsonSubTypes.Type(value = TrafficRecord.AttributionPublished.class, name = "blamed"),
    @JsonSubTypes.Type(value = TrafficRecord.RecordsLost.class, name = "lost")
})
public sealed interface TrafficRecord {
    /** Returns when the event happened or was observed, in ticks of {@link RecordClock}. */
    long timeTicks();

    /**
     * The properties of one route that the rules depend on.
     */
    record RoutePolicy(
            String name,
            @JsonProperty("effect") Idempotency idempotency,
            @JsonProperty("group") DeduplicationScope deduplicationScope,
            @JsonProperty("window") long deduplicationWindowTicks) {}

    /**
     * The parameters of the audited rules; each set of records has one such record.
     *
     * @param exposureAllowance the number of attempts at a canary that are allowed in addition to the cap
     * @param exposurePerRoute whether the cap applies to each route separately
     * @param guardedStages the number of initial stages in which a canary receives idempotent requests only
     * @param stickyKeys whether a partition key must not return to an earlier build
     * @param stageExposureCaps the share of requests that may go to a canary, by stage
     */
    record AuditParameters(
            @JsonProperty("t") long timeTicks,
            List<RoutePolicy> routes,
            @JsonProperty("drainGrace") long drainGraceTicks,
            @JsonProperty("window") long exposureWindowTicks,
            @JsonProperty("free") double exposureAllowance,
            @JsonProperty("perRoute") boolean exposurePerRoute,
            int guardedStages,
            @JsonProperty("keysStay") boolean stickyKeys,
            @JsonProperty("stageCaps") List<Double> stageExposureCaps)
            implements TrafficRecord {}

    /**
     * A number of records before this one could not be written.
     */
    record RecordsLost(@JsonProperty("t") long timeTicks, @JsonProperty("records") long count)
            implements TrafficRecord {}

    /**
     * A client sent a request to a node.
     *
     * @param deadlineTicks when the client stops waiting
     * @param clientRetry whether the client has already sent a request of the same call
     */
    record RequestSent(
            @JsonProperty("t") long timeTicks,
            @JsonProperty("req") String requestId,
            @JsonProperty("of") String callId,
            @JsonProperty("front") int nodeIndex,
            String route,
            @JsonProperty("customer") @Nullable String tenant,
            @JsonProperty("key") @Nullable String partitionKey,
            @JsonProperty("mark") @Nullable String idempotencyKey,
            @JsonProperty("leaves") long deadlineTicks,
            @JsonProperty("again") boolean clientRetry)
            implements TrafficRecord {}

    /**
     * A client received a complete response.
     *
     * @param notAccepted whether the response states that the node never accepted the request
     */
    record ResponseReceived(
            @JsonProperty("t") long timeTicks,
            @JsonProperty("req") String requestId,
            int status,
            @JsonProperty("is") Outcome outcome,
            @JsonProperty("notTaken") boolean notAccepted)
            implements TrafficRecord {}

    /**
     * A client received bytes that belong to no outstanding request.
     *
     * @param requestId the last request on the connection
     */
    record UnexpectedBytes(
            @JsonProperty("t") long timeTicks,
            @JsonProperty("req") String requestId,
            @JsonProperty("what") String description)
            implements TrafficRecord {}

    /**
     * A client's connection ended before the response was complete.
     */
    record ConnectionBroken(
            @JsonProperty("t") long timeTicks,
            @JsonProperty("req") String requestId,
            @JsonProperty("how") String reason)
            implements TrafficRecord {}

    /**
     * A client closed its connection.
     *
     * @param beforeDeadline false if the client closed because its deadline had passed
     */
    record ClientClosed(
            @JsonProperty("t") long timeTicks,
            @JsonProperty("req") String requestId,
            @JsonProperty("early") boolean beforeDeadline)
            implements TrafficRecord {}

    /**
     * A node started.
     */
    record NodeStarted(
            @JsonProperty("t") long timeTicks,
            @JsonProperty("front") int nodeIndex,
            @JsonProperty("life") String nodeIncarnation)
            implements TrafficRecord {}

    /**
     * A node stopped.
     *
     * @param killed whether it was killed, in which case accepted requests need not be answered
     */
    record NodeStopped(@JsonProperty("t") long timeTicks, @JsonProperty("front") int nodeIndex, boolean killed)
            implements TrafficRecord {}

    /**
     * One endpoint of an endpoint list.
     */
    record EndpointEntry(
            @JsonProperty("machine") String endpointId,
            @JsonProperty("run") long incarnation,
            int build,
            EndpointState state) {}

    /**
     * A node received an update of the endpoint list.
     */
    record EndpointListReceived(
            @JsonProperty("t") long timeTicks,
            @JsonProperty("front") int nodeIndex,
            @JsonProperty("life") String nodeIncarnation,
            EndpointListKind kind,
            @JsonProperty("machines") List<EndpointEntry> endpoints)
            implements TrafficRecord {}

    /**
     * A node received the state of a build's rollout.
     */
    record RolloutUpdateReceived(
            @JsonProperty("t") long timeTicks,
            @JsonProperty("front") int nodeIndex,
            @JsonProperty("life") String nodeIncarnation,
            int build,
            int stage,
            @JsonProperty("cap") double exposureCap,
            RolloutPhase phase)
            implements TrafficRecord {}

    /**
     * A server started.
     *
     * @param capacityPerSecond requests per second once warm
     * @param warmUpInitialShare the share of its capacity that a cold server starts with
     * @param warmUpTicks how long a cold server takes to reach its full capacity; the share grows linearly
     * @param overloadMultiple the multiple of its current capacity at which a cold server fails
     * @param overloadWindowTicks the window over which that load is measured
     */
    record ServerStarted(
            @JsonProperty("t") long timeTicks,
            @JsonProperty("machine") String endpointId,
            @JsonProperty("run") long incarnation,
            int build,
            int zone,
            int cell,
            @JsonProperty("capacity") double capacityPerSecond,
            @JsonProperty("coldFrom") double warmUpInitialShare,
            @JsonProperty("coldFor") long warmUpTicks,
            @JsonProperty("tipMultiple") double overloadMultiple,
            @JsonProperty("tipAfter") long overloadWindowTicks,
            boolean cold)
            implements TrafficRecord {}

    /**
     * A server stopped.
     */
    record ServerStopped(
            @JsonProperty("t") long timeTicks,
            @JsonProperty("machine") String endpointId,
            @JsonProperty("run") long incarnation,
            @JsonProperty("why") StopReason reason)
            implements TrafficRecord {}

    /**
     * An attempt reached a server.
     */
    record AttemptArrived(
            @JsonProperty("t") long timeTicks,
            @JsonProperty("machine") String endpointId,
            @JsonProperty("run") long incarnation,
            int build,
            @JsonProperty("req") String requestId,
            @JsonProperty("no") int attemptNumber,
            @JsonProperty("front") int nodeIndex,
            @JsonProperty("life") String nodeIncarnation)
            implements TrafficRecord {}

    /**
     * A server rejected an attempt before doing any work, so that the attempt provably never ran.
     */
    record AttemptRejected(
            @JsonProperty("t") long timeTicks,
            @JsonProperty("machine") String endpointId,
            @JsonProperty("run") long incarnation,
            @JsonProperty("req") String requestId,
            @JsonProperty("no") int attemptNumber)
            implements TrafficRecord {}

    /**
     * A server started to execute an attempt, which may have an effect.
     *
     * @param deduplicated whether the server recognized a repeated request, so that this attempt had no further effect
     */
    record AttemptExecuted(
            @JsonProperty("t") long timeTicks,
            @JsonProperty("machine") String endpointId,
            @JsonProperty("run") long incarnation,
            @JsonProperty("req") String requestId,
            @JsonProperty("no") int attemptNumber,
            @JsonProperty("dropped") boolean deduplicated)
            implements TrafficRecord {}

    /**
     * A server sent a response.
     */
    record AttemptAnswered(
            @JsonProperty("t") long timeTicks,
            @JsonProperty("machine") String endpointId,
            @JsonProperty("run") long incarnation,
            @JsonProperty("req") String requestId,
            @JsonProperty("no") int attemptNumber,
            int status)
            implements TrafficRecord {}

    /**
     * The rollout service received a vote.
     *
     * @param verdict as the node sent it
     * @param answer as the node received it; "none" if the service did not answer
     */
    record VoteReceived(
            @JsonProperty("t") long timeTicks,
            @JsonProperty("front") int nodeIndex,
            int build,
            int stage,
            String verdict,
            String answer)
            implements TrafficRecord {}

    /**
     * The rollout service changed its published attribution of a regression to a build.
     *
     * @param attribution none, open, cleared, guilty or set-aside, as in messages
     */
    record AttributionPublished(
            @JsonProperty("t") long timeTicks,
            int build,
            @JsonProperty("word") String attribution,
            double probability,
            String evidence)
            implements TrafficRecord {}

    /**
     * A build's rollout entered a stage or phase.
     */
    record RolloutStageChanged(
            @JsonProperty("t") long timeTicks,
            int build,
            int stage,
            @JsonProperty("cap") double exposureCap,
            RolloutPhase phase)
            implements TrafficRecord {}
}
