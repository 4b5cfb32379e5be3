package laurelkeel.soak;

import java.util.Map;

/**
 * One process of a node, with the signals that were sent to it. Thread-safe; points in time are seconds of the run's clock.
 */
final class NodeInstance {
    private static final double NEVER = Double.MAX_VALUE;
    /** A thread that waited for the CPU for less than this between two samples does not count as starved. */
    private static final double MIN_STARVED_SECONDS = 0.05;

    private final String name;
    private final int port;
    private final NodeProcess process;
    private volatile boolean admitting;
    private volatile double terminatedAt = NEVER;
    private volatile double killedAt = NEVER;
    private volatile boolean endRequested;

    private Map<String, Double> cpuWaitSecondsByThread = Map.of();
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

    /** Allows clients to open connections, once the wait for readiness after the start is over. */
    void admit() {
        admitting = true;
    }

    /** Whether clients have been allowed to open connections, and may have done so. */
    boolean wasAdmitting() {
        return admitting;
    }

    /** Records that SIGTERM is about to be sent. */
    void terminationRequested(double now) {
        endRequested = true;
        terminatedAt = now;
    }

    /** Records that SIGKILL is about to be sent. */
    void killRequested(double now) {
        endRequested = true;
        killedAt = now;
    }

    /** Marks the exit of the process as known, whatever its cause. */
    void markEnded() {
        endRequested = true;
    }

    /** Whether the process was asked to exit, or its exit is known. */
    boolean isEndRequested() {
        return endRequested;
    }

    boolean wasTerminated() {
        return terminatedAt != NEVER;
    }

    boolean wasKilled() {
        return killedAt != NEVER;
    }

    /** Returns when SIGTERM was sent; {@link Double#MAX_VALUE} if it was not. */
    double terminatedAt() {
        return terminatedAt;
    }

    /**
     * Returns for how long, up to now, the host has kept a thread of the process waiting for the CPU most of the time, in
     * seconds; 0 if no thread is starved now. A node that waits for the host is not responsible for delays. Called
     * periodically, by one thread.
     */
    double starvedSeconds() {
        Map<String, Double> waits = process.cpuWaitSecondsByThread();
        double longest = waits.entrySet().stream()
                .mapToDouble(thread ->
                        thread.getValue() - cpuWaitSecondsByThread.getOrDefault(thread.getKey(), thread.getValue()))
                .max()
                .orElse(0);
        cpuWaitSecondsByThread = waits;
        starvedSeconds = longest > MIN_STARVED_SECONDS ? starvedSeconds + longest : 0;
        return starvedSeconds;
    }
}
