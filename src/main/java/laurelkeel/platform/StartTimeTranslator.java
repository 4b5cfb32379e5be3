package laurelkeel.platform;

import laurelkeel.api.Ticks;

/**
 * Translates endpoints' start times from Unix time to this node's monotonic clock.
 *
 * <p>This host's wall clock is read only once, since it may be stepped at any time, and it may already have been wrong
 * when it was read. Discovery's lists correct it: no endpoint starts after it is listed, and an endpoint that a running
 * watch lists for the first time cannot have started longer ago than the maximum listing delay. A clock that was ahead
 * by less than that delay cannot be distinguished from late lists and is not corrected.
 *
 * <p>Not thread-safe.
 */
final class StartTimeTranslator {
    private static final long TICKS_PER_DAY = 24L * 3600 * Ticks.PER_SECOND;
    /** If a start time is further off than this, the start time itself is wrong and not the clock. */
    private static final long MAX_CORRECTION_TICKS = 7 * TICKS_PER_DAY;
    /** Longer than an endpoint takes to start and to be listed by discovery. */
    private static final long MAX_LISTING_DELAY_TICKS = 30 * Ticks.PER_SECOND;
    /** Later times would overflow when converted to ticks. */
    private static final long MAX_UNIX_MILLIS = Long.MAX_VALUE / 100;
    /** The earliest start on this node's clock, since 0 means long ago. */
    private static final long MIN_START_TICKS = 1;

    private long unixEpochTicks;

    /** @param unixEpochTicks the time on this node's clock that corresponds to Unix time 0 of this host */
    StartTimeTranslator(long unixEpochTicks) {
        this.unixEpochTicks = unixEpochTicks;
    }

    /**
     * Returns a start time on this node's clock. A second call with the same time may return a different result.
     *
     * @param unixMillis the start as Unix time; 0 or negative for long ago
     * @param nowTicks when the start was listed
     * @param justStarted whether a running watch listed the start as a change and it was not known before
     * @return the start, from 1 to {@code nowTicks}; 0 for long ago
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
        return Math.max(MIN_START_TICKS, Math.min(nowTicks, nowTicks - ageTicks));
    }
}
