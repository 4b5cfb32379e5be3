package laurelkeel.decision;

/** What the attempts at one build came to, over some span of time. */
final class BuildOutcomes {
    private int attempts;
    private int failures;
    private int recoveredFailures;
    private int complaints;
    private int latencySampleCount;
    private double latencyRatioSum;
    private double latencyRatioSquareSum;

    /** Adds attempts, of which some failed. */
    void addAttempts(long attemptCount, long failureCount) {
        attempts += (int) attemptCount;
        failures += (int) failureCount;
    }

    /** Adds a failure whose request another attempt served: the request itself was no cause of it. */
    void addRecoveredFailure() {
        recoveredFailures++;
    }

    void addComplaint() {
        complaints++;
    }

    /** Adds an answer by its latency as a multiple of the usual one. */
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

    /** Returns the number of answers whose latency is known as a multiple of the usual one. */
    int latencySampleCount() {
        return latencySampleCount;
    }

    /** Returns the mean latency as a multiple of the usual one. There must be rated answers. */
    double meanLatencyRatio() {
        return latencyRatioSum / latencySampleCount;
    }

    /**
     * Returns the squared standard error of the mean latency ratio.
     *
     * @param mean the value that the squares are taken about; the caller may have raised it above the true mean
     */
    double latencyRatioErrorSquared(double mean) {
        return (latencyRatioSquareSum / latencySampleCount - mean * mean) / latencySampleCount;
    }
}
