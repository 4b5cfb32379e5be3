package laurelkeel.attribution;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/** Estimates the ratio of two builds' latencies over the last seconds in which they could be compared. Not thread-safe. */
final class LatencyRatioWindow {
    private static final int MIN_SECONDS = 4;
    /** So many seconds in a row count as one: queues make them alike. */
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

    /** The ratio of latencies, with limits at so many standard errors; unlimited where too few seconds are known. */
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
