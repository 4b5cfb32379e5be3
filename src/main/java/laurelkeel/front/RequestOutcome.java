package laurelkeel.front;

/** How a request ended, as its front node sees it. */
public enum RequestOutcome {
    /** An endpoint's response was forwarded. */
    COMPLETED,
    /** The request was rejected; it provably had no effect, or a repeat does no harm. */
    REJECTED,
    /** The request failed; it may have had an effect. */
    FAILED,
    /** The client was gone before there was an answer. */
    CLIENT_DISCONNECTED
}
