package laurelkeel.attribution;

import java.util.ArrayDeque;
import java.util.Deque;

/** Classifies seconds by their load beside that of the last minute. Not thread-safe. */
final class LoadClassifier {
    private static final int WINDOW_SECONDS = 60;
    private static final int SMOOTHING_SECONDS = 5;
    /** Ratio of the highest load to the lowest below which the load counts as even. */
    private static final double MIN_LOAD_RATIO = 1.15;

    /** How a second's load compares with that of the last minute. */
    enum Level {
        /** In the lower half of the range. */
        CALM,
        /** In the upper half of the range. */
        BUSY,
        /** The load has hardly changed: the second is as calm as it is busy. */
        EVEN
    }

    private final Deque<Double> recentLoads = new ArrayDeque<>();
    private final Deque<Double> smoothedLoads = new ArrayDeque<>();

    /** Adds a second with so many attempts and classifies it. */
    Level addSecond(int attempts) {
        double load = smooth(attempts);
        double lowest = smoothedLoads.stream().mapToDouble(v -> v).min().orElse(0);
        double highest = smoothedLoads.stream().mapToDouble(v -> v).max().orElse(0);
        if (highest < MIN_LOAD_RATIO * lowest) {
            return Level.EVEN;
        }
        return load > (lowest + highest) / 2 ? Level.BUSY : Level.CALM;
    }

    private double smooth(int attempts) {
        addBounded(recentLoads, attempts, SMOOTHING_SECONDS);
        double load = recentLoads.stream().mapToDouble(v -> v).average().orElse(0);
        addBounded(smoothedLoads, load, WINDOW_SECONDS);
        return load;
    }

    private static void addBounded(Deque<Double> values, double value, int maxSize) {
        values.addLast(value);
        if (values.size() > maxSize) {
            values.removeFirst();
        }
    }
}
