package laurelkeel.soak;

/** One process of a node, from its start to its end, with what was done to it; times are the run's seconds. */
final class NodeLife {
    private static final double NEVER = Double.MAX_VALUE;

    final String name;
    final int port;
    final NodeProcess process;
    /** Clients may open connections to it. */
    volatile boolean admitted;
    volatile double terminatedAt = NEVER;
    volatile double killedAt = NEVER;
    /** An end of it was asked for, in whatever way. */
    volatile boolean endAsked;

    NodeLife(String name, int port, NodeProcess process) {
        this.name = name;
        this.port = port;
        this.process = process;
    }

    boolean wasKilled() {
        return killedAt != NEVER;
    }

    boolean wasTerminated() {
        return terminatedAt != NEVER;
    }
}
