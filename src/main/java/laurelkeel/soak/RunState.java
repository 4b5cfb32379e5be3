package laurelkeel.soak;

/** The state of one run that all its threads share; thread-safe. */
final class RunState {
    private volatile boolean ending;
    private volatile boolean flooded;

    /** Marks the run as ending, so that clients open no more connections. */
    void end() {
        ending = true;
    }

    boolean isEnding() {
        return ending;
    }

    /** Records that some node has been flooded, so that nodes may have reached their connection limit. */
    void markFlooded() {
        flooded = true;
    }

    /** Whether a node may have reached its connection limit, and may close connections without reading from them. */
    boolean wasFlooded() {
        return flooded;
    }
}
