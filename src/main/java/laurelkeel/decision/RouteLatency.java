package laurelkeel.decision;

import java.util.OptionalDouble;

/**
 * The latency of one route: the expected latency by concurrency of the endpoint, the unloaded latency, and the recent
 * mean.
 *
 * <p>Latencies are compared at equal concurrency. Otherwise busy endpoints would look like slow ones.
 */
final class RouteLatency {
    /** Number of concurrency levels. */
    private static final int LEVELS = 12;

    private static final int LEVELS_PER_DOUBLING = 2;
    private static final int MIN_ANSWERS_PER_LEVEL = 8;
    private static final double MIN_LEVEL_SMOOTHING = 0.05;

    /**
     * Number of levels over which latency is assumed to double, used to extrapolate to levels without enough answers.
     * This is close to the growth at an endpoint that serves one request after the other. Without extrapolation,
     * overload would look like a slow build.
     */
    private static final double LEVELS_PER_LATENCY_DOUBLING = 3.0;

    private static final double MAX_RATIO = 4;
    private static final double INITIAL_DEVIATION = 0.5;
    private static final double DEVIATION_SMOOTHING = 0.02;
    private static final double RECENT_SMOOTHING = 0.1;

    /**
     * Until there are enough answers, the unloaded latency is assumed to be the latency objective divided by this
     * value.
     */
    private static final double INITIAL_UNLOADED_DIVISOR = 5.0;

    private static final int ANSWERS_PER_BATCH = 100;
    /**
     * Maximum growth of the unloaded latency per batch of answers. It may grow because the service itself can become
     * slower.
     */
    private static final double MAX_UNLOADED_GROWTH_PER_BATCH = 1.02;

    private final double[] expectedTicks = new double[LEVELS];
    private final int[] answerCounts = new int[LEVELS];
    private double relativeDeviation = INITIAL_DEVIATION;
    private double unloadedTicks;
    private boolean hasCompleteBatch;
    private double batchSumTicks;
    private int batchAnswerCount;
    private double recentMeanTicks;
    private int inFlight;

    /** @param latencyObjectiveTicks the latency objective of the route */
    RouteLatency(long latencyObjectiveTicks) {
        unloadedTicks = latencyObjectiveTicks / INITIAL_UNLOADED_DIVISOR;
    }

    /** Returns the concurrency level of an endpoint that serves the given number of requests, from 0. */
    static int concurrencyLevel(double requests) {
        return (int)
                Math.min(LEVELS - 1, Math.round(LEVELS_PER_DOUBLING * Math.log(Math.max(1, requests)) / Math.log(2)));
    }

    void attemptStarted() {
        inFlight++;
    }

    void attemptEnded() {
        inFlight--;
    }

    /** Returns the number of this node's attempts in flight on the route. */
    int inFlight() {
        return inFlight;
    }

    /** Adds a completed attempt to the recent mean, which must not include attempts without an answer. */
    void recordRecent(long durationTicks) {
        recentMeanTicks += (durationTicks - recentMeanTicks) * RECENT_SMOOTHING;
    }

    /** Returns the mean latency of the recent answers. */
    double recentMeanTicks() {
        return recentMeanTicks;
    }

    /**
     * Returns a latency as a multiple of the one expected at a concurrency level; empty while there are too few answers
     * at this and all lower levels.
     */
    OptionalDouble ratioToExpected(long durationTicks, int level) {
        int knownLevel = level;
        while (knownLevel > 0 && !isKnown(knownLevel)) {
            knownLevel--;
        }
        if (!isKnown(knownLevel)) {
            return OptionalDouble.empty();
        }
        double growth = Math.pow(2, (level - knownLevel) / LEVELS_PER_LATENCY_DOUBLING);
        double extrapolatedTicks = Math.max(1, expectedTicks[knownLevel]) * growth;
        return OptionalDouble.of(Math.min(MAX_RATIO, durationTicks / extrapolatedTicks));
    }

    /** Records the distance of a latency from the expected one. */
    void recordDeviation(double ratioToExpected) {
        relativeDeviation += (Math.abs(ratioToExpected - 1) - relativeDeviation) * DEVIATION_SMOOTHING;
    }

    /** Returns the mean absolute deviation of latencies from the expected one, as a share of the expected one. */
    double relativeDeviation() {
        return relativeDeviation;
    }

    /** Returns whether there were enough answers at a concurrency level for an expected latency. */
    boolean isKnown(int level) {
        return answerCounts[level] >= MIN_ANSWERS_PER_LEVEL;
    }

    /** Adds a latency to the expected one at a concurrency level. */
    void updateExpected(long durationTicks, int level) {
        answerCounts[level]++;
        double smoothing = Math.max(MIN_LEVEL_SMOOTHING, 1.0 / answerCounts[level]);
        expectedTicks[level] += (durationTicks - expectedTicks[level]) * smoothing;
    }

    /**
     * Returns the expected latency at a concurrency level, or the unloaded latency if the expected one is not known.
     */
    double expectedOrUnloadedTicks(int level) {
        return isKnown(level) ? expectedTicks[level] : unloadedTicks;
    }

    /** Updates the unloaded latency, which is the smallest mean over a batch of answers. */
    void updateUnloaded(long durationTicks) {
        batchSumTicks += durationTicks;
        batchAnswerCount++;
        if (batchAnswerCount < ANSWERS_PER_BATCH) {
            return;
        }
        double meanTicks = batchSumTicks / ANSWERS_PER_BATCH;
        unloadedTicks =
                hasCompleteBatch ? Math.min(unloadedTicks * MAX_UNLOADED_GROWTH_PER_BATCH, meanTicks) : meanTicks;
        hasCompleteBatch = true;
        batchSumTicks = 0;
        batchAnswerCount = 0;
    }

    /** Returns the unloaded latency. Any time beyond it counts as time that the attempt has waited. */
    double unloadedTicks() {
        return unloadedTicks;
    }
}
