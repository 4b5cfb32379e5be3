package laurelkeel.platform;

/**
 * Maps the Unix times at which machines started to the front's clock. This host's wall clock is read once, for it may be
 * stepped at any time, and it may have been wrong already: discovery's own words correct it. No machine starts after it is
 * told of, and none that is first told while a watch runs started longer ago than lists may be late. A clock that was ahead
 * by less than that cannot be told from lists that are late, and is believed.
 */
final class StartTimeTranslator {
    /** Further off is no clock's fault: the time itself is wrong. Tenths of a millisecond. */
    private static final long MOST_CORRECTION = 7L * 24 * 3600 * 10_000;

    /** Longer than it takes a machine to come up and discovery to tell it. */
    private static final long LATEST_NEWS = 30 * 10_000;
    /** Later times would not fit into the clock's unit. */
    private static final long LATEST_MS = Long.MAX_VALUE / 100;

    private long epoch;

    /** @param epoch the front's clock when this host's Unix clock stood at 0 */
    StartTimeTranslator(long epoch) {
        this.epoch = epoch;
    }

    /**
     * The moment of a start on the front's clock, between 1 and now; 0 for one long ago. Asked again it may differ: who
     * wants it steady keeps it.
     *
     * @param startedMs Unix time in milliseconds; 0 or less for long ago
     * @param now when it was told
     * @param fresh it was told as a change while a watch ran, and not known before
     */
    long moment(long startedMs, long now, boolean fresh) {
        if (startedMs <= 0) {
            return 0;
        }
        long age = startedMs > LATEST_MS ? -MOST_CORRECTION - 1 : now - (epoch + startedMs * 10);
        boolean wrong = age < 0 || (fresh && age > LATEST_NEWS);
        if (wrong && Math.abs(age) <= MOST_CORRECTION) {
            epoch += age;
            return now;
        }
        return Math.max(1, Math.min(now, now - age));
    }
}
