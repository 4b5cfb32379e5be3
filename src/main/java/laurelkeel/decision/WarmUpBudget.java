package laurelkeel.decision;

/**
 * Counts the attempts at one endpoint within the overload window against a limit.
 *
 * <p>A fractional limit is rounded up or down at random, with a probability equal to its fraction. If every node with a
 * limit below one attempt sent one, many nodes together would overload an endpoint that is warming up.
 */
final class WarmUpBudget {
    private final SlidingWindow attempts = new SlidingWindow();
    private double roundingOffset;
    private long roundingExpiresAtTicks;

    /** Chooses at random how the limit is rounded for the duration of one window. */
    void renewRounding(SeededRandom random, long windowTicks, long nowTicks) {
        roundingOffset = random.nextDouble();
        roundingExpiresAtTicks = nowTicks + windowTicks;
    }

    /** Returns whether the window of the last random rounding has ended. */
    boolean isRoundingExpired(long nowTicks) {
        return nowTicks >= roundingExpiresAtTicks;
    }

    void attemptPlanned(long nowTicks) {
        attempts.record(nowTicks);
    }

    /** Returns whether one more attempt would exceed a limit on the attempts sent since a time. */
    boolean isExhausted(double limit, long sinceTicks) {
        return attempts.countSince(sinceTicks) + 1 > Math.floor(limit + roundingOffset);
    }

    void removeBefore(long beforeTicks) {
        attempts.removeBefore(beforeTicks);
    }
}
