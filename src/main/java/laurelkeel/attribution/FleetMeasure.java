package laurelkeel.attribution;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import laurelkeel.attribution.FleetSecond.RouteTotals;

/**
 * What a regression of the whole fleet shows in. Levels of both measures are scaled alike, so that one size of
 * regression matters in both.
 */
enum FleetMeasure {
    /** Natural logarithms of latencies. */
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
    /** Attempts that went wrong; a share of 0.04 counts like a latency ratio of exp(0.25). */
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

    /** Sum of the measure over a route's attempts. */
    abstract double sum(RouteTotals totals);

    /** How many attempts that sum is of. */
    abstract double count(RouteTotals totals);

    /** The least standard deviation of single seconds' levels that chance leaves. */
    double minSpread() {
        return minSpread;
    }

    /** Each second's level over all routes, each route relative to its own mean: a change of their mix is no regression. */
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

    /** The mean of a route over all seconds. */
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
