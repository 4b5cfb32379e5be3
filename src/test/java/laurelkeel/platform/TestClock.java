package laurelkeel.platform;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import laurelkeel.front.NodeRuntime;

/** A clock of ticks that a test moves forward; it starts running or stopped. Thread-safe. */
final class TestClock implements LongSupplier {
    private static final long STOPPED_AT_TICKS = 36_000_000;

    private final LongSupplier realTicks = NodeRuntime.monotonicClock();
    private final AtomicLong addedTicks = new AtomicLong();
    private volatile boolean running;

    private TestClock(boolean running) {
        this.running = running;
    }

    /** Shows real time and what the test adds to it. */
    static TestClock running() {
        return new TestClock(true);
    }

    /** Shows only what the test adds, until it lets the clock run. */
    static TestClock stopped() {
        return new TestClock(false);
    }

    void advance(long ticks) {
        addedTicks.addAndGet(ticks);
    }

    void run() {
        running = true;
    }

    @Override
    public long getAsLong() {
        return (running ? realTicks.getAsLong() : STOPPED_AT_TICKS) + addedTicks.get();
    }
}
