package laurelkeel.attribution;

import java.util.ArrayDeque;
import java.util.Deque;

/** Classifies seconds by their load relative to that of the last minute. Not thread-safe. */
final class LoadClassifier {
    private static final int WINDOW_SECONDS = 60;
    private static final int SMOOTHING_SECONDS = 5;
    /** Ratio of the highest to the lowest load below which the load counts as even. */
    private static final double MIN_LOAD_RATIO = 1.15;

    /** The load of a second relative to that of the last minute. */
    enum Level {
        /** The load is in the lower half of the range. */
        CALM,
        /** The load is in the upper half of the range. */
        BUSY,
        /** The load has hardly changed; the second counts as both calm and busy. */
        EVEN
    }

    private final Deque<Double> recentLoads = new ArrayDeque<>();
    private final Deque<Double> smoothedLoads = new ArrayDeque<>();

    /** Adds a second, given its number of attempts, and classifies it. */
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
