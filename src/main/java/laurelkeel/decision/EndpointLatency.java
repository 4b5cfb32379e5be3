package laurelkeel.decision;

/** How fast one endpoint answers beside what is usual, and how long attempts wait there before they are served. */
final class EndpointLatency {
    /** Weight of one answer in the mean ratio to the usual latency. */
    private static final double RATIO_SMOOTHING = 0.06;
    /** Weight of one answer in the mean wait and the mean number in flight. */
    private static final double WAIT_SMOOTHING = 0.15;

    private double meanRatioToExpected = 1;
    private int warmAnswerCount;
    private double waitTicks;
    private double usualInFlight = 1;
    private long answeredAtTicks;

    /** Takes note of an answer whose latency can be compared with what is usual. */
    void recordRatio(double ratio) {
        meanRatioToExpected += (ratio - meanRatioToExpected) * RATIO_SMOOTHING;
    }

    /** Counts an answer that it gave once it had warmed up. */
    void countWarmAnswer() {
        warmAnswerCount++;
    }

    /** Takes note of how long an attempt waited, and how many were in flight when it was sent. */
    void recordWait(double attemptWaitTicks, int inFlight, long nowTicks) {
        waitTicks += (attemptWaitTicks - waitTicks) * WAIT_SMOOTHING;
        answeredAtTicks = nowTicks;
        usualInFlight += (inFlight - usualInFlight) * WAIT_SMOOTHING;
    }

    /** Returns the mean latency of its answers of late as a multiple of what is usual for their routes. */
    double meanRatioToExpected() {
        return meanRatioToExpected;
    }

    /** Returns how many of its answers since it had warmed up could be compared with what is usual. */
    int warmAnswerCount() {
        return warmAnswerCount;
    }

    /** Returns the wait to expect by its own answers, with so many attempts in flight ahead. */
    double expectedWaitTicks(int inFlight) {
        return Math.max(0, waitTicks) * (inFlight + 1) / Math.max(1, usualInFlight);
    }

    /** Returns when it last completed an attempt; 0 for never. */
    long answeredAtTicks() {
        return answeredAtTicks;
    }
}
