package laurelkeel.front;

/** The state of a front node in its lifecycle; it only advances. */
enum NodeState {
    /** The node is constructed and not started. */
    CREATED,
    /** The node is opening its control-plane sources and its listener. */
    STARTING,
    /** The node accepts requests. */
    SERVING,
    /** The node is to shut down and completes its active requests. */
    DRAINING,
    /** The node is closing its sockets and sources. */
    CLOSING,
    /** Everything is closed. */
    ENDED;

    /** Returns whether the node is shutting down, so that health checks should take it out of rotation. */
    boolean isShuttingDown() {
        return compareTo(DRAINING) >= 0;
    }
}
