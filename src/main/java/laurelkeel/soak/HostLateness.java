package laurelkeel.soak;

import java.util.Arrays;

/** How late the host lets threads run, which is no fault of a node; thread-safe. */
final class HostLateness {
    private static final int WINDOW_SECONDS = 4;
    private static final int SLEEP_MILLIS = 2;

    private final RunClock clock;
    /** The worst of each second, by its number modulo the window. */
    private final double[] worstBySecond = new double[WINDOW_SECONDS];

    private double worstSeconds;

    HostLateness(RunClock clock) {
        this.clock = clock;
    }

    /** Measures until the thread is interrupted: sleeps, and records by how much each sleep was too long. */
    void measure() throws InterruptedException {
        while (true) {
            double before = clock.seconds();
            Thread.sleep(SLEEP_MILLIS);
            record(clock.seconds() - before - SLEEP_MILLIS / 1e3);
        }
    }

    /** Records that a thread has just run late. */
    synchronized void record(double lateSeconds) {
        int slot = (int) clock.seconds() % WINDOW_SECONDS;
        worstBySecond[(slot + 1) % WINDOW_SECONDS] = 0;
        worstBySecond[slot] = Math.max(worstBySecond[slot], lateSeconds);
        worstSeconds = Math.max(worstSeconds, lateSeconds);
    }

    /** The worst of the last few seconds, in seconds. */
    synchronized double recentSeconds() {
        return Arrays.stream(worstBySecond).max().orElse(0);
    }

    /** The worst of the whole run, in seconds. */
    synchronized double worstSeconds() {
        return worstSeconds;
    }
}
