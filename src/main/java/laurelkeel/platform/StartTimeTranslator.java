package laurelkeel.platform;

import laurelkeel.api.Ticks;

/**
 * Translates the Unix times at which endpoints started to this node's monotonic clock.
 *
 * <p>This host's wall clock is read once, for it may be stepped at any time, and may have been wrong already.
 * Discovery's lists correct it: no endpoint starts after it is listed, and none that a running watch lists for the first
 * time started longer ago than lists may be late. A clock that was ahead by less than that cannot be told from late
 * lists, and is believed.
 *
 * <p>Not thread-safe.
 */
final class StartTimeTranslator {
    private static final long TICKS_PER_DAY = 24L * 3600 * Ticks.PER_SECOND;
    /** A time that is further off is wrong itself; no clock is. */
    private static final long MAX_CORRECTION_TICKS = 7 * TICKS_PER_DAY;
    /** Longer than an endpoint takes to come up and discovery to list it. */
    private static final long MAX_LISTING_DELAY_TICKS = 30 * Ticks.PER_SECOND;
    /** Later times overflow ticks. */
    private static final long MAX_UNIX_MILLIS = Long.MAX_VALUE / 100;
    /** A moment of 0 stands for long ago. */
    private static final long FIRST_MOMENT_TICKS = 1;

    private long unixEpochTicks;

    /** @param unixEpochTicks what this node's clock showed when this host's Unix clock stood at 0 */
    StartTimeTranslator(long unixEpochTicks) {
        this.unixEpochTicks = unixEpochTicks;
    }

    /**
     * Returns the moment of a start on this node's clock. A second call may return another one.
     *
     * @param unixMillis Unix time; 0 or less for long ago
     * @param nowTicks when it was listed
     * @param justStarted whether a running watch listed it as a change, and it was not known before
     * @return between 1 and now; 0 for long ago
     */
    long toTicks(long unixMillis, long nowTicks, boolean justStarted) {
        if (unixMillis <= 0) {
            return 0;
        }
        long ageTicks = unixMillis > MAX_UNIX_MILLIS
                ? -MAX_CORRECTION_TICKS - 1
                : nowTicks - (unixEpochTicks + unixMillis * Ticks.PER_MILLISECOND);
        boolean impossible = ageTicks < 0 || (justStarted && ageTicks > MAX_LISTING_DELAY_TICKS);
        if (impossible && Math.abs(ageTicks) <= MAX_CORRECTION_TICKS) {
            unixEpochTicks += ageTicks;
            return nowTicks;
        }
        return Math.max(FIRST_MOMENT_TICKS, Math.min(nowTicks, nowTicks - ageTicks));
    }
}
