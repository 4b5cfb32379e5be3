package laurelkeel.soak;

import java.util.Map;

/** One process of a node from its start to its end, with what was done to it; thread-safe, times in seconds of the run. */
final class NodeInstance {
    private static final double NEVER = Double.MAX_VALUE;
    /** A thread that waits for a core less than this between two looks is not starved. */
    private static final double MIN_STARVED_SECONDS = 0.05;

    private final String name;
    private final int port;
    private final NodeProcess process;
    private volatile boolean admitting;
    private volatile double terminatedAt = NEVER;
    private volatile double killedAt = NEVER;
    private volatile boolean endRequested;

    private Map<String, Double> coreWaitsByThread = Map.of();
    private double starvedSeconds;

    NodeInstance(String name, int port, NodeProcess process) {
        this.name = name;
        this.port = port;
        this.process = process;
    }

    String name() {
        return name;
    }

    int port() {
        return port;
    }

    NodeProcess process() {
        return process;
    }

    /** From now on clients may open connections. */
    void admit() {
        admitting = true;
    }

    /** Whether the node was ready, so that clients may have opened connections. */
    boolean wasAdmitting() {
        return admitting;
    }

    /** SIGTERM is about to be sent. */
    void terminationRequested(double now) {
        endRequested = true;
        terminatedAt = now;
    }

    /** SIGKILL is about to be sent. */
    void killRequested(double now) {
        endRequested = true;
        killedAt = now;
    }

    /** Marks the end of the process as known, in whatever way it came. */
    void markEnded() {
        endRequested = true;
    }

    /** Whether the process was asked to end, or its end is known. */
    boolean isEndRequested() {
        return endRequested;
    }

    boolean wasTerminated() {
        return terminatedAt != NEVER;
    }

    boolean wasKilled() {
        return killedAt != NEVER;
    }

    /** When SIGTERM was sent; far ahead where it was not. */
    double terminatedAt() {
        return terminatedAt;
    }

    /**
     * How long the host has now left a thread of the process without a core for most of the time, in seconds: a node that
     * waits for the host is not at fault for what comes late. Called regularly, by one thread.
     */
    double starvedSeconds() {
        Map<String, Double> waits = process.coreWaitSecondsByThread();
        double longest = waits.entrySet().stream()
                .mapToDouble(thread ->
                        thread.getValue() - coreWaitsByThread.getOrDefault(thread.getKey(), thread.getValue()))
                .max()
                .orElse(0);
        coreWaitsByThread = waits;
        starvedSeconds = longest > MIN_STARVED_SECONDS ? starvedSeconds + longest : 0;
        return starvedSeconds;
    }
}
