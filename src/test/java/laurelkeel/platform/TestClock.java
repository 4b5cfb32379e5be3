package laurelkeel.platform;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import laurelkeel.front.NodeRuntime;

/** A clock in ticks that a test can advance and stop, and that starts running or stopped. Thread-safe. */
public final class TestClock implements LongSupplier {
    private static final long STOPPED_AT_TICKS = 36_000_000;

    private final LongSupplier realTicks = NodeRuntime.monotonicClock();
    private final AtomicLong addedTicks = new AtomicLong();
    /** What the clock shows while it is stopped, without the added ticks. */
    private volatile long stoppedAtTicks = STOPPED_AT_TICKS;

    private volatile boolean running;

    private TestClock(boolean running) {
        this.running = running;
    }

    /** Returns a clock that shows real time plus the ticks that the test adds. */
    public static TestClock running() {
        return new TestClock(true);
    }

    /** Returns a clock that advances only by the ticks that the test adds, until {@link #run}. */
    static TestClock stopped() {
        return new TestClock(false);
    }

    void advance(long ticks) {
        addedTicks.addAndGet(ticks);
    }

    void run() {
        running = true;
    }

    /** Stops the clock at the time that it shows. */
    public void stop() {
        stoppedAtTicks = realTicks.getAsLong();
        running = false;
    }

    @Override
    public long getAsLong() {
        return (running ? realTicks.getAsLong() : stoppedAtTicks) + addedTicks.get();
    }
}
