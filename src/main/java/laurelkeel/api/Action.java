package laurelkeel.api;

/**
 * An instruction from a {@link Decider} to its front node. Actions take effect at the time of the decision, in order.
 */
public sealed interface Action {

    /** A front node's verdict on a build. */
    enum Verdict {
        /** No opinion. */
        NONE,
        /** The build may advance to its next stage. */
        PROMOTE,
        /** The build must stay in its stage. No decider of this project casts this verdict yet. */
        HOLD,
        /** The build must be rolled back. */
        ROLL_BACK
    }

    /**
     * Forwards a request to an endpoint. The attempts of a request are numbered from 0 in the order of these actions.
     *
     * @param timeoutTicks time after which the attempt ends as timed out; 0 to wait until the client's deadline
     */
    record SendAttempt(String requestId, String endpointId, long timeoutTicks) implements Action {}

    /** Stops waiting for an attempt. The endpoint decides whether it stops working on it. */
    record CancelAttempt(String requestId, int attempt) implements Action {}

    /**
     * Rejects a request as its final answer. The request provably had no effect, so the client may send it again.
     *
     * @param retryAfterTicks how long the client is asked to wait before a retry; 0 for no advice
     */
    record RejectRequest(String requestId, long retryAfterTicks) implements Action {}

    /** Fails a request as its final answer. The request may have had an effect. */
    record FailRequest(String requestId) implements Action {}

    /** Requests an {@link Event.TimerFired} with the same id at or after the given time. Timers are never cancelled. */
    record StartTimer(long dueAtTicks, long timerId) implements Action {}

    /** Asks an endpoint for its health and load. No decider of this project uses it yet. */
    record SendHealthCheck(String endpointId) implements Action {}

    /** Closes this front node's idle connections to an endpoint. No decider of this project uses it yet. */
    record CloseIdleConnections(String endpointId) implements Action {}

    /**
     * Sends a short message to other front nodes. No decider of this project uses it yet.
     *
     * @param toNode index of the receiver; below 0 for all other nodes
     */
    // the array is handed to a single sender and never compared, so a defensive copy or a list would only add cost
    @SuppressWarnings("ArrayRecordComponent")
    record SendGossip(int toNode, byte[] payload) implements Action {}

    /**
     * Fetches the changes to the endpoint list and subscribes to further ones, or ends the subscription. If the
     * endpoint list has to be polled, each action is one poll.
     */
    record WatchEndpoints(boolean enabled) implements Action {}

    /** Fetches the whole endpoint list once. No decider of this project uses it yet. */
    record FetchEndpoints() implements Action {}

    /** Votes on a build. An accepted vote replaces this node's previous one. */
    record CastVote(int build, int stage, Verdict verdict) implements Action {}

    /** Writes a line to the log. */
    record WriteLog(String message) implements Action {}
}
