package laurelkeel.decision;

/** Outcome counts and sums of latency ratios for the attempts at one build's endpoints over a span of time. */
final class BuildOutcomes {
    private int attempts;
    private int failures;
    private int recoveredFailures;
    private int complaints;
    private int latencySampleCount;
    private double latencyRatioSum;
    private double latencyRatioSquareSum;

    /** Adds attempts and the number of failures among them. */
    void addAttempts(long attemptCount, long failureCount) {
        attempts += (int) attemptCount;
        failures += (int) failureCount;
    }

    /**
     * Counts one of the added failures as recovered: a later attempt completed the request, which shows that the
     * request itself did not cause the failure.
     */
    void addRecoveredFailure() {
        recoveredFailures++;
    }

    void addComplaint() {
        complaints++;
    }

    /** Adds the latency of an answer as a multiple of the expected latency. */
    void addLatencyRatio(double ratio) {
        latencySampleCount++;
        latencyRatioSum += ratio;
        latencyRatioSquareSum += ratio * ratio;
    }

    void add(BuildOutcomes other) {
        attempts += other.attempts;
        failures += other.failures;
        recoveredFailures += other.recoveredFailures;
        complaints += other.complaints;
        latencySampleCount += other.latencySampleCount;
        latencyRatioSum += other.latencyRatioSum;
        latencyRatioSquareSum += other.latencyRatioSquareSum;
    }

    int attempts() {
        return attempts;
    }

    int failures() {
        return failures;
    }

    int recoveredFailures() {
        return recoveredFailures;
    }

    int complaints() {
        return complaints;
    }

    /** Returns the number of latency ratios added. */
    int latencySampleCount() {
        return latencySampleCount;
    }

    /** Returns the mean latency as a multiple of the expected latency; NaN without a sample. */
    double meanLatencyRatio() {
        return latencyRatioSum / latencySampleCount;
    }

    /**
     * Returns the variance of the mean latency ratio, which is the square of its standard error; NaN without a sample.
     *
     * @param mean the mean latency ratio; the caller may have raised it above the true mean, which lowers the result
     *     and may make it negative
     */
    double meanLatencyRatioVariance(double mean) {
        return (latencyRatioSquareSum / latencySampleCount - mean * mean) / latencySampleCount;
    }
}
