package laurelkeel.soak;

/** The monotonic clock of one run; thread-safe. */
final class RunClock {
    private static final double NANOS_PER_SECOND = 1e9;

    private final long startedNanos = System.nanoTime();

    /** Returns the seconds since the start of the run. */
    double seconds() {
        return (System.nanoTime() - startedNanos) / NANOS_PER_SECOND;
    }
}
