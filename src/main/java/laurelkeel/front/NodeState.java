package laurelkeel.front;

/** The state of a front node's lifecycle; it only moves forward. */
enum NodeState {
    /** Constructed and not started. */
    CREATED,
    /** Its sources and its listener are being opened. */
    STARTING,
    /** It takes requests. */
    SERVING,
    /** It was asked to end and completes its active requests. */
    DRAINING,
    /** It closes its sockets and sources. */
    CLOSING,
    /** Everything is closed. */
    ENDED;

    /** Whether the node is on its way out, so that health checks are to take it out of rotation. */
    boolean isShuttingDown() {
        return compareTo(DRAINING) >= 0;
    }
}
