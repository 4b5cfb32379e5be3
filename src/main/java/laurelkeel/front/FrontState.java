package laurelkeel.front;

/** Where a front stands in its life; it only goes forward. Each step is logged with its cause. */
enum FrontState {
    CREATED,
    STARTING,
    SERVING,
    DRAINING,
    CLOSING,
    ENDED;

    /** It is on its way out: health checks are to take it out of rotation. */
    boolean leaving() {
        return compareTo(DRAINING) >= 0;
    }
}
