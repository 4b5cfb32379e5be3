package laurelkeel.soak;

/** What all threads of one run need to know of how far it is; thread-safe. */
final class RunState {
    private volatile boolean ending;
    private volatile boolean crowded;

    /** From now on clients open no connections. */
    void end() {
        ending = true;
    }

    boolean isEnding() {
        return ending;
    }

    /** From now on nodes may be full. */
    void crowd() {
        crowded = true;
    }

    /** Whether a node may be full, and close connections without reading them. */
    boolean isCrowded() {
        return crowded;
    }
}
