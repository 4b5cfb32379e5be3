package laurelkeel.attribution;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/** Estimates the ratio of two builds' latencies from the most recent seconds with a comparison. Not thread-safe. */
final class LatencyRatioWindow {
    private static final int MIN_SECONDS = 4;
    /** Number of consecutive seconds that count as one independent sample, because queues correlate them. */
    private static final double CORRELATED_SECONDS = 3;

    private static final double MIN_VARIANCE = 0.0025;

    private final int windowSeconds;
    private final Deque<Double> logRatios = new ArrayDeque<>();

    LatencyRatioWindow(int windowSeconds) {
        this.windowSeconds = windowSeconds;
    }

    void add(double logRatio) {
        logRatios.addLast(logRatio);
        if (logRatios.size() > windowSeconds) {
            logRatios.removeFirst();
        }
    }

    /**
     * Estimates the ratio of latencies.
     *
     * @param standardErrors half width of the confidence interval of the log ratio, in standard errors
     * @return an estimate with the limits 0 and infinity if there are too few seconds
     */
    Estimate estimate(double standardErrors) {
        if (logRatios.size() < MIN_SECONDS) {
            return new Estimate(1, 0, Double.POSITIVE_INFINITY);
        }
        double[] values = logRatios.stream().mapToDouble(v -> v).toArray();
        double mean = Arrays.stream(values).average().orElse(0);
        double squares = Arrays.stream(values).map(v -> (v - mean) * (v - mean)).sum();
        double variance = Math.max(squares / (values.length - 1), MIN_VARIANCE);
        double margin = standardErrors * Math.sqrt(CORRELATED_SECONDS * variance / values.length);
        return new Estimate(Math.exp(mean), Math.exp(mean - margin), Math.exp(mean + margin));
    }
}
