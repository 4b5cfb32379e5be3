package laurelkeel.soak;

import java.util.Map;

/** One process of a node, from its start to its end, with what was done to it; times are the run's seconds. */
final class NodeLife {
    private static final double NEVER = Double.MAX_VALUE;
    /** A thread that waits less than this between two looks has its turn soon enough (seconds). */
    private static final double LEAST_WAIT = 0.05;

    final String name;
    final int port;
    final NodeProcess process;
    /** Clients may open connections to it. */
    volatile boolean admitted;

    volatile double terminatedAt = NEVER;
    volatile double killedAt = NEVER;
    /** An end of it was asked for, in whatever way. */
    volatile boolean endAsked;

    private Map<String, Double> waits = Map.of();
    private double starved;

    NodeLife(String name, int port, NodeProcess process) {
        this.name = name;
        this.port = port;
        this.process = process;
    }

    /**
     * How long this host has now left a thread of it without a core for most of the time, in seconds: a node that waits for
     * the host is not at fault for what comes late. To be asked regularly, by one thread.
     */
    double starved() {
        Map<String, Double> now = process.waitsForCore();
        double longest = now.entrySet().stream()
                .mapToDouble(e -> e.getValue() - waits.getOrDefault(e.getKey(), e.getValue()))
                .max()
                .orElse(0);
        waits = now;
        starved = longest > LEAST_WAIT ? starved + longest : 0;
        return starved;
    }

    boolean wasKilled() {
        return killedAt != NEVER;
    }

    boolean wasTerminated() {
        return terminatedAt != NEVER;
    }
}
