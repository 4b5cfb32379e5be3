package laurelkeel.testbed;

/** What can be wrong with a simulated server for a while. */
public enum ServerFault {
    /** It accepts requests and health checks and answers none. */
    HANG,
    /** Its work takes longer by a factor. */
    SLOW,
    /** It does the work and sends no response. */
    LOSE_RESPONSES,
    /** It sends half a response and closes the connection. */
    RESET_CONNECTIONS,
    /** It sends half a response and leaves the connection open. */
    TRUNCATE_RESPONSES,
    /** It accepts no connections. */
    REFUSE_CONNECTIONS
}
