package laurelkeel.decision;

import java.util.OptionalDouble;

/**
 * How long the answers of one route take: usually, by how busy the endpoint is, and in calm times.
 *
 * <p>Latencies are compared at equal concurrency, or crowded endpoints would pass for slow ones.
 */
final class RouteLatency {
    /** Levels of concurrency, two for each doubling. */
    private static final int LEVELS = 12;

    private static final int LEVELS_PER_DOUBLING = 2;
    private static final int MIN_ANSWERS_PER_LEVEL = 8;
    private static final double MIN_LEVEL_SMOOTHING = 0.05;

    /**
     * At levels without answers so far, latency is taken to double with each so many levels: nearly as if endpoints served one
     * request after the other. Overload would else pass for a slow build.
     */
    private static final double LEVELS_PER_LATENCY_DOUBLING = 3.0;

    private static final double MAX_RATIO = 4;
    private static final double INITIAL_DEVIATION = 0.5;
    private static final double DEVIATION_SMOOTHING = 0.02;
    private static final double RECENT_SMOOTHING = 0.1;

    /** Until there are answers, calm latency is taken to be the objective divided by it. */
    private static final double INITIAL_CALM_DIVISOR = 5.0;

    private static final int ANSWERS_PER_CALM_RUN = 100;
    /** Calm latency may rise by this factor with each run, for the service itself can become slower. */
    private static final double MAX_CALM_GROWTH_PER_RUN = 1.02;

    private final double[] expectedTicks = new double[LEVELS];
    private final int[] answerCounts = new int[LEVELS];
    private double relativeDeviation = INITIAL_DEVIATION;
    private double unloadedTicks;
    private boolean hasCalmRun;
    private double runSumTicks;
    private int runCount;
    private double recentMeanTicks;
    private int inFlight;

    /** @param latencyObjectiveTicks of the route */
    RouteLatency(long latencyObjectiveTicks) {
        unloadedTicks = latencyObjectiveTicks / INITIAL_CALM_DIVISOR;
    }

    /** Returns the level of concurrency of an endpoint that serves so many requests. */
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

    /** Returns this node's attempts of the route that are in flight. */
    int inFlight() {
        return inFlight;
    }

    /** Adds a completed attempt to the mean of late, which has to leave out attempts without an answer. */
    void recordRecent(long durationTicks) {
        recentMeanTicks += (durationTicks - recentMeanTicks) * RECENT_SMOOTHING;
    }

    /** Returns the mean latency of the last answers. */
    double recentMeanTicks() {
        return recentMeanTicks;
    }

    /** Returns a latency as a multiple of the usual one at a level; empty while too little is known. */
    OptionalDouble ratioToExpected(long durationTicks, int level) {
        int known = level;
        while (known > 0 && !isKnown(known)) {
            known--;
        }
        if (!isKnown(known)) {
            return OptionalDouble.empty();
        }
        double growth = Math.pow(2, (level - known) / LEVELS_PER_LATENCY_DOUBLING);
        double extrapolatedTicks = Math.max(1, expectedTicks[known]) * growth;
        return OptionalDouble.of(Math.min(MAX_RATIO, durationTicks / extrapolatedTicks));
    }

    /** Takes note of how far a latency was from the usual one. */
    void recordDeviation(double ratioToExpected) {
        relativeDeviation += (Math.abs(ratioToExpected - 1) - relativeDeviation) * DEVIATION_SMOOTHING;
    }

    /** Returns the mean distance of latencies from the usual one, as a share of it. */
    double relativeDeviation() {
        return relativeDeviation;
    }

    /** Whether there were enough answers at a level to know what is usual there. */
    boolean isKnown(int level) {
        return answerCounts[level] >= MIN_ANSWERS_PER_LEVEL;
    }

    /** Adds a latency to what is usual at a level. */
    void updateExpected(long durationTicks, int level) {
        answerCounts[level]++;
        double smoothing = Math.max(MIN_LEVEL_SMOOTHING, 1.0 / answerCounts[level]);
        expectedTicks[level] += (durationTicks - expectedTicks[level]) * smoothing;
    }

    /** Returns the usual latency at a level, or the calm one where that is not known. */
    double expectedOrUnloadedTicks(int level) {
        return isKnown(level) ? expectedTicks[level] : unloadedTicks;
    }

    /** Adds a latency to the calm one, which is the least mean of a run of answers. */
    void updateUnloaded(long durationTicks) {
        runSumTicks += durationTicks;
        runCount++;
        if (runCount < ANSWERS_PER_CALM_RUN) {
            return;
        }
        double meanTicks = runSumTicks / ANSWERS_PER_CALM_RUN;
        unloadedTicks = hasCalmRun ? Math.min(unloadedTicks * MAX_CALM_GROWTH_PER_RUN, meanTicks) : meanTicks;
        hasCalmRun = true;
        runSumTicks = 0;
        runCount = 0;
    }

    /** Returns the latency in calm times; what an answer takes beyond it, it has waited. */
    double unloadedTicks() {
        return unloadedTicks;
    }
}
