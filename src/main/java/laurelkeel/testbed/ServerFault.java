package laurelkeel.testbed;

/** Temporary faults of a simulated server. */
public enum ServerFault {
    /** Accepts requests and health checks without answering any. */
    HANG,
    /** Multiplies the duration of work by a factor. */
    SLOW,
    /** Executes requests without sending responses. */
    LOSE_RESPONSES,
    /** Sends half of a response and closes the connection. */
    RESET_CONNECTIONS,
    /** Sends half of a response and leaves the connection open. */
    TRUNCATE_RESPONSES,
    /** Accepts no connections. */
    REFUSE_CONNECTIONS
}
