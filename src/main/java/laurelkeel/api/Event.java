package laurelkeel.api;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** An occurrence that a front node reports to its {@link Decider}. */
public sealed interface Event {

    /** How an attempt ended. */
    enum AttemptOutcome {
        /** The endpoint answered without an error. */
        COMPLETED,
        /** The endpoint answered with an error. */
        FAILED,
        /** The endpoint rejected the attempt unread because it is at capacity or draining. */
        OVERLOADED,
        /** No answer arrived within the timeout. */
        TIMED_OUT,
        /** No connection was established in time. */
        CONNECT_FAILED,
        /** The connection was lost while the attempt was in flight. */
        CONNECTION_LOST,
        /** The front node stopped waiting for the attempt. */
        CANCELLED,
        /** The attempt was never written to a connection. */
        NOT_SENT;

        /** Returns whether the endpoint provably did not process the request. */
        public boolean provablyNeverRan() {
            return this == OVERLOADED || this == CONNECT_FAILED || this == NOT_SENT;
        }

        /**
         * Returns whether the endpoint answered the request without an error, or may have done so although the answer
         * was lost, not read or late.
         */
        public boolean mayHaveServed() {
            return !provablyNeverRan() && this != FAILED;
        }
    }

    /** Whether an endpoint accepts new requests. */
    enum EndpointState {
        /** The endpoint accepts requests. */
        ACTIVE,
        /** The endpoint finishes the requests in flight; no new ones may be sent to it. */
        DRAINING,
        /** The endpoint is no longer part of the service. */
        REMOVED
    }

    /** What an update of the endpoint list contains. */
    enum EndpointListKind {
        /** Only the entries that changed. */
        DELTA,
        /** Every entry; endpoints that are not in the update are removed. */
        SNAPSHOT,
        /** The whole endpoint list as last stored by this node; it may be out of date. */
        CACHED,
        /** Nothing: a fetch or watch failed, and the previous endpoint list stays in effect. */
        FAILED
    }

    /** The result of a call to the control service. */
    enum ControlStatus {
        /** The call was accepted, and the other fields of the update are valid. */
        OK,
        /** The vote was for a build or stage that is no longer current. */
        STALE,
        /** The votes exceeded the number that the control service accepts per second. */
        RATE_LIMITED,
        /** The control service failed. */
        FAILED,
        /** No answer arrived in time; the vote may have been counted. */
        TIMED_OUT
    }

    /** The phase of a build's rollout. */
    enum RolloutPhase {
        /** The build serves a limited share of the requests. */
        CANARY,
        /** The build is being rolled back. */
        ROLLING_BACK,
        /** The build serves all requests. */
        RELEASED,
        /** The build has been rolled back. */
        ROLLED_BACK;

        /** Returns whether a rollout is in this phase before it is in the other one: no rollout leads back to it. */
        public boolean precedes(RolloutPhase other) {
            return order() < other.order();
        }

        private int order() {
            return switch (this) {
                case CANARY -> 0;
                case RELEASED -> 1;
                case ROLLING_BACK -> 2;
                case ROLLED_BACK -> 3;
            };
        }
    }

    /**
     * One entry of the endpoint list.
     *
     * @param build number of the build that the endpoint runs; a later build has a higher number
     * @param zone index of its zone
     * @param cell number of its cell, a small group of endpoints that recognize repeats of each other's requests
     * @param kind index of its kind of endpoint
     * @param weight its capacity relative to other endpoints, without unit
     * @param startedAtTicks when it last started; 0 if it started long ago
     */
    record EndpointEntry(
            String endpointId,
            int build,
            int zone,
            int cell,
            int kind,
            double weight,
            EndpointState state,
            long startedAtTicks) {

        /** Returns this entry with another state. */
        public EndpointEntry withState(EndpointState newState) {
            return new EndpointEntry(endpointId, build, zone, cell, kind, weight, newState, startedAtTicks);
        }
    }

    /** An update of the endpoint list. */
    record EndpointListUpdate(EndpointListKind kind, List<EndpointEntry> entries) implements Event {}

    /**
     * A client's request has arrived, and this node must give it exactly one final answer.
     *
     * @param route index of its route in the settings
     * @param tenant index of its tenant in the settings; 0 if the settings have none
     * @param partitionKey identifies the entity that the request concerns; null if it has none
     * @param deadlineTicks time at which the client stops waiting
     * @param expectedWorkMillis expected processing time on a standard core; 0 if unknown
     * @param clientRetry whether the client marks the request as a retry
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

    /** The client has begun to receive the answer to an attempt of a streamed route. */
    record ResponseStarted(String requestId, int attempt) implements Event {}

    /**
     * An attempt has ended; each attempt ends once.
     *
     * @param durationTicks time since the attempt was sent
     * @param requestEnded whether the request now has its final answer, from this attempt or from an earlier event
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

    /** The client has closed its connection or stopped waiting; the request needs no further answer. */
    record ClientDisconnected(String requestId) implements Event {}

    /** A timer of {@link Action.StartTimer} is due. */
    record TimerFired(long timerId) implements Event {}

    /** A health check has ended. */
    record HealthCheckEnded(String endpointId, AttemptOutcome outcome, long durationTicks, LoadReport loadReport)
            implements Event {}

    /** A short message from another front node has arrived. */
    // the array is handed to a single reader and never compared, so a defensive copy or a list would only add cost
    @SuppressWarnings("ArrayRecordComponent")
    record GossipReceived(int fromNode, byte[] payload) implements Event {}

    /**
     * The state of one build's rollout, as received from the control service.
     *
     * @param status if it is not {@link ControlStatus#OK}, only {@code status}, {@code answersVote} and, in the
     *     response to a vote, {@code build} are valid; {@code build} is then the build that was voted on, or 0 if it is
     *     unknown
     * @param stage the rollout's stage, from 0
     * @param exposureCap share of the requests that the build may receive, from 0 to 1
     * @param ageTicks time since the rollout entered this stage or phase
     * @param answersVote whether this is the response to a vote of this node
     */
    record RolloutUpdate(
            ControlStatus status,
            int stage,
            double exposureCap,
            long ageTicks,
            RolloutPhase phase,
            int build,
            boolean answersVote)
            implements Event {
        /**
         * Longer than an update takes to arrive. An earlier phase that began this long after a later one belongs to
         * another rollout of the same build.
         */
        private static final long MAX_DELAY_TICKS = 5 * Ticks.PER_SECOND;

        /**
         * Returns whether the control service sent this update before one that has arrived already. The reply to a vote
         * and the updates of the subscription come on different connections, which have no common order.
         *
         * @param phase phase of this build's rollout in the latest update
         * @param phaseStartedAtTicks when that phase began
         */
        public boolean isOvertakenBy(RolloutPhase phase, long phaseStartedAtTicks, long nowTicks) {
            return this.phase.precedes(phase) && nowTicks - ageTicks <= phaseStartedAtTicks + MAX_DELAY_TICKS;
        }
    }

    /**
     * The statistics about all nodes' attempts at one build on one route in the platform's last reporting period.
     *
     * @param errors number of attempts that did not complete
     * @param meanDurationTicks mean duration of the attempts that completed
     * @param ageTicks time since the period ended
     */
    record BuildStatistics(int build, int route, long attempts, long errors, long meanDurationTicks, long ageTicks)
            implements Event {}

    /**
     * A client reported that an answer that this node had forwarded as completed was wrong.
     *
     * @param sentAgoTicks time since the attempt was sent
     */
    record ComplaintReceived(String endpointId, long sentAgoTicks, int route) implements Event {}
}
