package laurelkeel.front.ingress;

/** Why a client's connection ended; counted in the metrics, and logged where a request may have been left unanswered. */
public enum CloseReason {
    /** The client ended its side in order. */
    CLIENT_CLOSED,
    /** The connection broke: reset, timed out, or unreachable. */
    BROKEN,
    /** Nothing was asked on it for the idle limit. */
    IDLE,
    /** No whole request came within the limit for the first one. */
    FIRST_REQUEST_LATE,
    /** A request stayed unfinished past its limit. */
    REQUEST_UNFINISHED,
    /** Nothing of what was written for it left in time. */
    WRITE_STALLED,
    /** It gave its place to a newer connection. */
    ROOM_NEEDED,
    /** No place was free for it. */
    NO_PLACE,
    /** It was idle while the front drained. */
    DRAIN,
    /** The last answer on it was written. */
    LAST_ANSWER,
    /** An error of this program while handling what came on it. */
    INTERNAL_ERROR,
    /** The front ended. */
    FRONT_ENDED
}
