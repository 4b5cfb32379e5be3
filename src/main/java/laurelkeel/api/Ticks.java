package laurelkeel.api;

/** The time unit of this package and of the deciders: one tick is a tenth of a millisecond. */
public final class Ticks {
    /** Ticks in one millisecond. */
    public static final long PER_MILLISECOND = 10;

    /** Ticks in one second. */
    public static final long PER_SECOND = 10_000;

    private Ticks() {}
}
