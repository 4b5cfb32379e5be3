package laurelkeel.records;

/** The clock of all records: the host's monotonic clock in ticks, the same for every process of the host. */
public final class RecordClock {
    /** How many ticks a second has. */
    public static final long TICKS_PER_SECOND = 10_000;

    /** How many ticks a millisecond has. */
    public static final double TICKS_PER_MILLISECOND = 10.0;

    private static final long NANOS_PER_TICK = 100_000;

    private RecordClock() {}

    /** The current time in ticks (tenths of a millisecond); only differences mean anything. */
    public static long nowTicks() {
        return System.nanoTime() / NANOS_PER_TICK;
    }
}
