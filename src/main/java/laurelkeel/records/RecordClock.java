package laurelkeel.records;

/** The clock of all records: the host's monotonic clock in ticks, shared by all processes on the host. */
public final class RecordClock {
    /** Ticks per second. */
    public static final long TICKS_PER_SECOND = 10_000;

    /** Ticks per millisecond. */
    public static final double TICKS_PER_MILLISECOND = 10.0;

    private static final long NANOS_PER_TICK = 100_000;

    private RecordClock() {}

    /** Returns the current time in ticks (tenths of a millisecond); only differences are meaningful. */
    public static long nowTicks() {
        return System.nanoTime() / NANOS_PER_TICK;
    }
}
