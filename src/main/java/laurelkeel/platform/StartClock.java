package laurelkeel.platform;

/**
 * Maps the Unix times at which machines started to the front's clock. This host's wall clock is read once, for it may be
 * stepped at any time, and it may have been wrong already: discovery's own words correct it. No machine starts after it is
 * told of, and of the starts told while a watch runs, the quickest told is taken to have been told at once. An error that
 * is left makes a machine seem to have started later than it did, never sooner than discovery's delay allows.
 */
final class StartClock {
    /** Further off is no clock's fault: the time itself is wrong. Tenths of a millisecond. */
    private static final long MOST_CORRECTION = 7L * 24 * 3600 * 10_000;

    /** Later times would not fit into the clock's unit. */
    private static final long LATEST_MS = Long.MAX_VALUE / 100;

    private long epoch;
    private boolean corrected;

    /** @param epoch the front's clock when this host's Unix clock stood at 0 */
    StartClock(long epoch) {
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
        boolean wrong = age < 0 || fresh && !corrected;
        if (wrong && Math.abs(age) <= MOST_CORRECTION) {
            epoch += age;
            corrected |= fresh;
            return now;
        }
        return Math.max(1, Math.min(now, now - age));
    }
}
