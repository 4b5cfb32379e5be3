package laurelkeel.api;

/** Something a front node is to do. Actions take effect at the moment of the decision, in the order given. */
public sealed interface Action {

    /** What a front node says of a build. */
    enum Verdict {
        /** No opinion. */
        NONE,
        /** The build may go on to its next stage. */
        PROMOTE,
        /** The build is to stay in its stage. The decisions of this project do not use it yet. */
        HOLD,
        /** The build is to be taken back. */
        ROLL_BACK
    }

    /**
     * Forwards a request to an endpoint. A request's attempts are numbered from 0 in the order of these actions.
     *
     * @param timeoutTicks after which the attempt ends as timed out; 0 for the client's deadline
     */
    record SendAttempt(String requestId, String endpointId, long timeoutTicks) implements Action {}

    /** Stops waiting for an attempt. Whether the endpoint stops working on it is the endpoint's matter. */
    record CancelAttempt(String requestId, int attempt) implements Action {}

    /**
     * The final answer of a request that provably had no effect: the client may repeat it.
     *
     * @param retryAfterTicks how long the client is asked to stay away; 0 for no advice
     */
    record RejectRequest(String requestId, long retryAfterTicks) implements Action {}

    /** The final answer of a request that failed and may have had an effect. */
    record FailRequest(String requestId) implements Action {}

    /** Asks for an {@link Event.TimerFired} with the same id at or after a moment. Timers are never cancelled. */
    record StartTimer(long dueAtTicks, long timerId) implements Action {}

    /** Asks an endpoint for its health and load. The decisions of this project do not use it yet. */
    record SendHealthCheck(String endpointId) implements Action {}

    /** Closes this front node's idle connections to an endpoint. The decisions of this project do not use it yet. */
    record CloseIdleConnections(String endpointId) implements Action {}

    /**
     * Sends a short message to other front nodes. The decisions of this project do not use it yet.
     *
     * @param toNode index of the receiver; below 0 for all other nodes
     */
    // handed over to one sender and never compared: a copy or a list of bytes would only cost
    @SuppressWarnings("ArrayRecordComponent")
    record SendGossip(int toNode, byte[] payload) implements Action {}

    /**
     * Asks for what has changed in the endpoint list and subscribes to further changes, or ends the subscription. Where the
     * list has to be polled, each call is one poll.
     */
    record WatchEndpoints(boolean enabled) implements Action {}

    /** Asks once for the whole endpoint list. The decisions of this project do not use it yet. */
    record FetchEndpoints() implements Action {}

    /** Votes on a build. A vote that is accepted takes the place of this node's earlier one. */
    record CastVote(int build, int stage, Verdict verdict) implements Action {}

    /** Writes a line to the log. */
    record WriteLog(String message) implements Action {}
}
