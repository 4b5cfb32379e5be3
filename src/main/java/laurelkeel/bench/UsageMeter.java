package laurelkeel.bench;

import laurelkeel.bench.MeasuredProcess.Usage;
import org.jspecify.annotations.Nullable;

/** Measures the resources that a process uses between two calls of {@link #run}. Not thread-safe. */
final class UsageMeter implements Runnable {
    private final MeasuredProcess process;
    private @Nullable Usage atStart;
    private @Nullable Usage used;

    UsageMeter(MeasuredProcess process) {
        this.process = process;
    }

    /** Reads the usage; to be called at the start and at the end of the measured time. */
    @Override
    public void run() {
        Usage now = process.usage();
        if (atStart == null) {
            atStart = now;
        } else {
            used = now.since(atStart);
        }
    }

    /**
     * Returns the usage between the two calls of {@link #run}.
     *
     * @throws IllegalStateException if {@link #run} has not been called twice
     */
    Usage used() {
        if (used == null) {
            throw new IllegalStateException("the usage at the end of the measured time has not been read");
        }
        return used;
    }
}
