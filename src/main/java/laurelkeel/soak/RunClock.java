package laurelkeel.soak;

/** The clock of one run; thread-safe. */
final class RunClock {
    private static final double NANOS_PER_SECOND = 1e9;

    private final long startedNanos = System.nanoTime();

    /** Seconds since the run began. */
    double seconds() {
        return (System.nanoTime() - startedNanos) / NANOS_PER_SECOND;
    }
}
