package laurelkeel.bench;

import laurelkeel.bench.MeasuredProcess.Usage;
import org.jspecify.annotations.Nullable;

/** Measures what a process uses between two moments; not thread-safe. */
final class UsageMeter implements Runnable {
    private final MeasuredProcess process;
    private @Nullable Usage first;
    private @Nullable Usage used;

    UsageMeter(MeasuredProcess process) {
        this.process = process;
    }

    /** Called at both ends of the measured time. */
    @Override
    public void run() {
        Usage now = process.usage();
        if (first == null) {
            first = now;
        } else {
            used = now.since(first);
        }
    }

    /** What was used between the two moments. */
    Usage used() {
        if (used == null) {
            throw new IllegalStateException("the measured time has not ended");
        }
        return used;
    }
}
