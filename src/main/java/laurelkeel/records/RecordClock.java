package laurelkeel.records;

/** The clock of all records: the host's monotonic clock in ticks, the same for every process of the host. */
public final class RecordClock {
    private static final long NANOS_PER_TICK = 100_000;

    private RecordClock() {}

    /** The current time in ticks (tenths of a millisecond); only differences mean anything. */
    public static long nowTicks() {
        return System.nanoTime() / NANOS_PER_TICK;
    }
}
