package laurelkeel.soak;

import java.util.Arrays;

/**
 * Measures how late the host schedules threads, so that the rules tolerate delays that the nodes do not cause.
 * Thread-safe.
 */
final class HostLateness {
    private static final int WINDOW_SECONDS = 4;
    private static final int SLEEP_MILLIS = 2;

    private final RunClock clock;
    /** The highest lateness of each second, indexed by the second modulo the window. */
    private final double[] worstBySecond = new double[WINDOW_SECONDS];

    private double worstSeconds;

    HostLateness(RunClock clock) {
        this.clock = clock;
    }

    /** Sleeps repeatedly and records by how much each sleep was too long, until the thread is interrupted. */
    void measure() throws InterruptedException {
        while (true) {
            double before = clock.seconds();
            Thread.sleep(SLEEP_MILLIS);
            record(clock.seconds() - before - SLEEP_MILLIS / 1e3);
        }
    }

    /** Records that a thread has just run late by this time. */
    synchronized void record(double lateSeconds) {
        int slot = (int) clock.seconds() % WINDOW_SECONDS;
        worstBySecond[(slot + 1) % WINDOW_SECONDS] = 0;
        worstBySecond[slot] = Math.max(worstBySecond[slot], lateSeconds);
        worstSeconds = Math.max(worstSeconds, lateSeconds);
    }

    /** Returns the highest lateness within the last few seconds, in seconds. */
    synchronized double recentSeconds() {
        return Arrays.stream(worstBySecond).max().orElse(0);
    }

    /** Returns the highest lateness of the whole run, in seconds. */
    synchronized double worstSeconds() {
        return worstSeconds;
    }
}
