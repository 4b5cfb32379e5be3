package laurelkeel.front;

/** Where a front stands in its life; it only goes forward. Each step is logged with its cause. */
enum FrontState { CREATED, STARTING, SERVING, DRAINING, CLOSING, ENDED }
