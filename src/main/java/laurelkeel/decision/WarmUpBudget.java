package laurelkeel.decision;

/**
 * Counts the attempts at one endpoint within the overload window against a limit.
 *
 * <p>A limit that is no whole number is rounded up or down by a random draw, in proportion. One attempt from each of many
 * nodes, where each may send a fraction of one, would overload an endpoint that is warming up.
 */
final class WarmUpBudget {
    private final SlidingWindow attempts = new SlidingWindow();
    private double roundingDraw;
    private long drawExpiresAtTicks;

    /** Draws anew how the limit is rounded, for the length of one window. */
    void draw(SeededRandom random, long windowTicks, long nowTicks) {
        roundingDraw = random.nextDouble();
        drawExpiresAtTicks = nowTicks + windowTicks;
    }

    /** Whether the last draw has served its window. */
    boolean isDrawExpired(long nowTicks) {
        return nowTicks >= drawExpiresAtTicks;
    }

    void attemptSent(long nowTicks) {
        attempts.record(nowTicks);
    }

    /** Whether one more attempt would exceed a limit on those sent since a moment. */
    boolean isExhausted(double limit, long sinceTicks) {
        return attempts.countSince(sinceTicks) + 1 > Math.floor(limit + roundingDraw);
    }

    void removeBefore(long beforeTicks) {
        attempts.removeBefore(beforeTicks);
    }
}
