package laurelkeel.front;

/** How a req ended, as its front sees it. */
public enum RequestOutcome {
    COMPLETED,
    REJECTED,
    FAILED,
    CLIENT_DISCONNECTED
}
