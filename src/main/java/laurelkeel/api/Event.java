package laurelkeel.api;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** Something a front node has learned. */
public sealed interface Event {

    /** How an attempt ended. */
    enum AttemptOutcome {
        /** The endpoint answered. */
        COMPLETED,
        /** The endpoint answered with an error. */
        FAILED,
        /** The endpoint rejected the attempt unread, for it is at capacity or draining. */
        OVERLOADED,
        /** No answer came in time. */
        TIMED_OUT,
        /** No connection could be made in time. */
        CONNECT_FAILED,
        /** The connection was lost while the attempt was in flight. */
        CONNECTION_LOST,
        /** The front node stopped waiting for it. */
        CANCELLED,
        /** It was never written to a connection. */
        NOT_SENT;

        /** Whether the endpoint provably did nothing for the request. */
        public boolean provablyNeverRan() {
            return this == OVERLOADED || this == CONNECT_FAILED || this == NOT_SENT;
        }

        /** Whether the endpoint has served the request or may have: its answer may be lost, unread or late. */
        public boolean mayHaveServed() {
            return !provablyNeverRan() && this != FAILED;
        }
    }

    /** Whether an endpoint takes new requests. */
    enum EndpointState {
        /** It serves. */
        ACTIVE,
        /** It finishes what it has; nothing new may be sent to it. */
        DRAINING,
        /** It is no longer part of the service. */
        REMOVED
    }

    /** What an update of the endpoint list holds. */
    enum EndpointListKind {
        /** Only the entries that changed. */
        DELTA,
        /** Every entry; endpoints that it does not name are removed. */
        SNAPSHOT,
        /** The whole list as this node last knew it, which may be out of date. */
        CACHED,
        /** Nothing: a fetch or watch failed, and the list known so far stands. */
        FAILED
    }

    /** How the control service answered a call. */
    enum ControlStatus {
        /** It was accepted, and the other fields of the update hold. */
        OK,
        /** The vote was for a build or stage that has passed. */
        STALE,
        /** There were more votes than the control service takes in a second. */
        RATE_LIMITED,
        /** The control service failed. */
        FAILED,
        /** No answer came in time; the vote may count. */
        TIMED_OUT
    }

    /** Where the rollout of a build stands. */
    enum RolloutPhase {
        /** The build serves a limited share of the requests. */
        CANARY,
        /** The build is being taken back. */
        ROLLING_BACK,
        /** The build serves all requests. */
        RELEASED,
        /** The build has been taken back. */
        ROLLED_BACK
    }

    /**
     * One line of the endpoint list.
     *
     * @param build the build that it runs; a later build has a higher number
     * @param zone index of its zone
     * @param cell a small group of endpoints that share what they know of partition keys
     * @param kind index of its kind of endpoint
     * @param weight its capacity beside that of other endpoints, without unit
     * @param startedAtTicks when it last started; 0 for long ago
     */
    record EndpointEntry(
            String endpointId,
            int build,
            int zone,
            int cell,
            int kind,
            double weight,
            EndpointState state,
            long startedAtTicks) {}

    /** News of the endpoint list. */
    record EndpointListUpdate(EndpointListKind kind, List<EndpointEntry> entries) implements Event {}

    /**
     * A client's request has arrived, and this node owes it one final answer.
     *
     * @param route index of its route in the settings
     * @param tenant index of its tenant in the settings; 0 where there are none
     * @param partitionKey what the request is about; null where it names nothing
     * @param deadlineTicks when the client gives it up
     * @param expectedWorkMillis work on a standard core that it is expected to need; 0 where that is unknown
     * @param clientRetry whether the client says that it sends the request again
     */
    record RequestReceived(
            String requestId,
            int route,
            int tenant,
            @Nullable String partitionKey,
            long deadlineTicks,
            double expectedWorkMillis,
            boolean clientRetry)
            implements Event {}

    /** The answer to an attempt of a streamed route has begun to reach the client. */
    record ResponseStarted(String requestId, int attempt) implements Event {}

    /**
     * An attempt has ended; each attempt ends once.
     *
     * @param durationTicks from when it was sent
     * @param requestEnded whether the request has its final answer, by this outcome or earlier
     */
    record AttemptEnded(
            String requestId,
            int attempt,
            String endpointId,
            AttemptOutcome outcome,
            long durationTicks,
            boolean requestEnded,
            LoadReport loadReport)
            implements Event {}

    /** The client has closed its connection or given up; nothing more is owed for the request. */
    record ClientDisconnected(String requestId) implements Event {}

    /** A timer of {@link Action.StartTimer} is due. */
    record TimerFired(long timerId) implements Event {}

    /** A health check has ended. */
    record HealthCheckEnded(String endpointId, AttemptOutcome outcome, long durationTicks, LoadReport loadReport)
            implements Event {}

    /** A short message from another front node has come in. */
    // handed over to one reader and never compared: a copy or a list of bytes would only cost
    @SuppressWarnings("ArrayRecordComponent")
    record GossipReceived(int fromNode, byte[] payload) implements Event {}

    /**
     * Where the newest build stands, as the control service said.
     *
     * @param status where it is not {@link ControlStatus#OK}, only it and {@code answersVote} hold anything
     * @param stage the rollout's stage, from 0
     * @param exposureCap share of the requests that the build may get, from 0 to 1
     * @param ageTicks how long this has been so
     * @param answersVote whether this answers a vote of this node
     */
    record RolloutUpdate(
            ControlStatus status,
            int stage,
            double exposureCap,
            long ageTicks,
            RolloutPhase phase,
            int build,
            boolean answersVote)
            implements Event {}

    /**
     * What the platform counted of all nodes' attempts at one build over its last period.
     *
     * @param errors attempts that did not complete
     * @param meanDurationTicks of the attempts that completed
     * @param ageTicks since the period ended
     */
    record BuildStatistics(int build, int route, long attempts, long errors, long meanDurationTicks, long ageTicks)
            implements Event {}

    /**
     * A client found an answer wrong that this node had passed on as completed.
     *
     * @param sentAgoTicks since the attempt was sent
     */
    record ComplaintReceived(String endpointId, long sentAgoTicks, int route) implements Event {}
}
