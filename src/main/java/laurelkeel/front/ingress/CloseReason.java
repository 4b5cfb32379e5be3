package laurelkeel.front.ingress;

/**
 * Why a client's connection ended. The lower-case names are the values of the {@code reason} label of the metric
 * {@code laurelkeel_client_connections_closed}; the names also stand in the log.
 */
public enum CloseReason {
    /** The client ended its side in order. */
    CLIENT_CLOSED,
    /** The connection broke: reset, timed out or unreachable. */
    BROKEN,
    /** It was idle past the idle timeout. */
    IDLE,
    /** No complete request came within the timeout for the first one. */
    FIRST_REQUEST_LATE,
    /** A request stayed incomplete past its timeout. */
    REQUEST_UNFINISHED,
    /** No byte of the pending responses could be written within the write timeout. */
    WRITE_STALLED,
    /** It was idle and gave its slot to a newer connection. */
    ROOM_NEEDED,
    /** No slot was free for it. */
    NO_PLACE,
    /** It was idle while the node drained. */
    DRAIN,
    /** Its last response was written. */
    LAST_ANSWER,
    /** An error of this program while it handled the input. */
    INTERNAL_ERROR,
    /** The node ended. */
    FRONT_ENDED
}
