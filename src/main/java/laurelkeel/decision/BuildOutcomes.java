package laurelkeel.decision;

/** Outcome counts and latency sums of the attempts at one build over a span of time. */
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

    /** Adds a failure after which another attempt served the request, so that the request did not cause it. */
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

    /** Returns the number of answers whose latency ratio is known. */
    int latencySampleCount() {
        return latencySampleCount;
    }

    /** Returns the mean latency as a multiple of the expected latency; there must be a sample. */
    double meanLatencyRatio() {
        return latencyRatioSum / latencySampleCount;
    }

    /**
     * Returns the variance of the mean latency ratio, which is the square of its standard error.
     *
     * @param mean the mean latency ratio; the caller may have raised it above the true mean, which lowers the result
     */
    double meanLatencyRatioVariance(double mean) {
        return (latencyRatioSquareSum / latencySampleCount - mean * mean) / latencySampleCount;
    }
}
