package laurelkeel.decision;

/** The latency of one endpoint relative to the expected one, and the wait of attempts there before they are served. */
final class EndpointLatency {
    /** Weight of one answer in the mean ratio to the expected latency. */
    private static final double RATIO_SMOOTHING = 0.06;
    /** Weight of one answer in the mean wait and the mean number in flight. */
    private static final double WAIT_SMOOTHING = 0.15;

    private double meanRatioToExpected = 1;
    private int warmAnswerCount;
    private double waitTicks;
    private double meanInFlight = 1;
    private long answeredAtTicks;

    /** Records the latency of an answer as a multiple of the expected one. */
    void recordRatio(double ratio) {
        meanRatioToExpected += (ratio - meanRatioToExpected) * RATIO_SMOOTHING;
    }

    /** Counts an answer that the endpoint gave after it had warmed up. */
    void countWarmAnswer() {
        warmAnswerCount++;
    }

    /** Records how long an attempt waited and how many attempts were in flight when it was sent. */
    void recordWait(double attemptWaitTicks, int inFlight, long nowTicks) {
        waitTicks += (attemptWaitTicks - waitTicks) * WAIT_SMOOTHING;
        answeredAtTicks = nowTicks;
        meanInFlight += (inFlight - meanInFlight) * WAIT_SMOOTHING;
    }

    /** Returns the mean latency of the recent answers as a multiple of the one expected for their routes. */
    double meanRatioToExpected() {
        return meanRatioToExpected;
    }

    /** Returns the number of answers since the warm-up for which an expected latency was known. */
    int warmAnswerCount() {
        return warmAnswerCount;
    }

    /**
     * Returns the expected wait behind a number of attempts in flight, derived from the endpoint's own answers only.
     */
    double expectedWaitTicks(int inFlight) {
        return Math.max(0, waitTicks) * (inFlight + 1) / Math.max(1, meanInFlight);
    }

    /** Returns when the endpoint last completed an attempt; 0 for never. */
    long answeredAtTicks() {
        return answeredAtTicks;
    }
}
