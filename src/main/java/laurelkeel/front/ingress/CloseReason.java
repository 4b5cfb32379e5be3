package laurelkeel.front.ingress;

/** Why a client's connection ended. */
public enum CloseReason {
    /** The client closed its side of the connection in an orderly way. */
    CLIENT_CLOSED("client_closed"),
    /** The connection failed: it was reset, timed out or became unreachable. */
    CONNECTION_ERROR("broken"),
    /** The connection was idle for longer than the idle timeout. */
    IDLE_TIMEOUT("idle"),
    /** No complete request arrived within the timeout for the first request. */
    FIRST_REQUEST_TIMEOUT("first_request_late"),
    /** A request was still incomplete when the timeout for partial requests expired. */
    PARTIAL_REQUEST_TIMEOUT("request_unfinished"),
    /** No byte of the pending responses could be written within the write timeout. */
    WRITE_TIMEOUT("write_stalled"),
    /** The connection was idle, and its slot was needed for a newer connection. */
    EVICTED("room_needed"),
    /** The connection was rejected on opening because no slot was free. */
    CONNECTION_LIMIT_REACHED("no_place"),
    /** The connection was idle while the node was draining. */
    DRAINED("drain"),
    /** The last response on the connection was written. */
    LAST_RESPONSE_WRITTEN("last_answer"),
    /** An internal error occurred while the input was handled. */
    INTERNAL_ERROR("internal_error"),
    /** The node stopped. */
    NODE_STOPPED("front_ended");

    private final String label;

    CloseReason(String label) {
        this.label = label;
    }

    /** Returns the value of the {@code reason} label of the metric {@code laurelkeel_client_connections_closed}. */
    public String label() {
        return label;
    }

    /** Returns the label, so that log lines name a reason as the metric does. */
    @Override
    public String toString() {
        return label;
    }
}
