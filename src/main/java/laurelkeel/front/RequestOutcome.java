package laurelkeel.front;

/** How a request ended, from the front node's view. */
public enum RequestOutcome {
    /** An endpoint's response was forwarded. */
    COMPLETED,
    /** The request was rejected; it provably had no effect, or a retry does no harm. */
    REJECTED,
    /** The request failed; it may have had an effect. */
    FAILED,
    /** The client disconnected before its request was answered. */
    CLIENT_DISCONNECTED
}
