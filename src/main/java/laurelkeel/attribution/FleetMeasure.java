package laurelkeel.attribution;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import laurelkeel.attribution.FleetSecond.RouteTotals;

/**
 * A measure in which a regression of the whole fleet can appear. The levels of both measures are scaled so that the
 * same threshold for a regression applies to both.
 */
enum FleetMeasure {
    /** The natural logarithm of the latency. */
    LATENCY(1, 0.03) {
        @Override
        double sum(RouteTotals totals) {
            return totals.logLatencySum();
        }

        @Override
        double count(RouteTotals totals) {
            return totals.timedAttempts();
        }
    },
    /** The share of failed, unanswered and wrong attempts; a share of 0.04 equals a latency ratio of exp(0.25). */
    BAD_ATTEMPTS(100.0 / 16, 0.004 * 100 / 25) {
        @Override
        double sum(RouteTotals totals) {
            return totals.badAttempts();
        }

        @Override
        double count(RouteTotals totals) {
            return totals.attempts();
        }
    };

    private final double scale;
    private final double minSpread;

    FleetMeasure(double scale, double minSpread) {
        this.scale = scale;
        this.minSpread = minSpread;
    }

    /** Returns the sum of the measure over a route's attempts. */
    abstract double sum(RouteTotals totals);

    /** Returns the number of attempts that the sum covers. */
    abstract double count(RouteTotals totals);

    /** Returns the lowest standard deviation of single seconds' levels that random variation alone causes. */
    double minSpread() {
        return minSpread;
    }

    /**
     * Returns the level of each second over all routes. Each route is measured relative to its own mean, so that a
     * change in the mix of routes does not look like a regression.
     */
    double[] levels(List<FleetSecond> seconds) {
        Map<Integer, Mean> meanByRoute = new TreeMap<>();
        for (FleetSecond second : seconds) {
            second.totalsByRoute().forEach((route, totals) -> meanByRoute
                    .computeIfAbsent(route, unused -> new Mean())
                    .add(sum(totals), count(totals)));
        }
        double[] levels = new double[seconds.size()];
        for (int i = 0; i < levels.length; i++) {
            levels[i] = level(seconds.get(i), meanByRoute);
        }
        return levels;
    }

    private double level(FleetSecond second, Map<Integer, Mean> meanByRoute) {
        double excess = 0;
        double attempts = 0;
        for (Map.Entry<Integer, RouteTotals> entry : second.totalsByRoute().entrySet()) {
            RouteTotals totals = entry.getValue();
            Mean mean = Objects.requireNonNull(meanByRoute.get(entry.getKey()));
            excess += sum(totals) - mean.expectedSum(count(totals));
            attempts += count(totals);
        }
        return attempts == 0 ? 0 : excess / attempts * scale;
    }

    /** The mean of the measure for one route over all seconds. */
    private static final class Mean {
        private double sum;
        private double count;

        void add(double addedSum, double addedCount) {
            sum += addedSum;
            count += addedCount;
        }

        double expectedSum(double attempts) {
            return attempts * sum / Math.max(1, count);
        }
    }
}
