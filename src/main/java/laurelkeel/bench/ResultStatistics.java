package laurelkeel.bench;

import java.util.List;
import java.util.function.Predicate;
import laurelkeel.bench.AttributionScenario.Result;

/** Statistics of the results of many generated days. */
final class ResultStatistics {
    private static final double HUNDRED = 100.0;

    private ResultStatistics() {}

    /** Returns the percentage of days that meet the condition; NaN if there are no days. */
    static double percent(List<Result> results, Predicate<Result> condition) {
        return HUNDRED * results.stream().filter(condition).count() / results.size();
    }

    /**
     * Returns a quantile of the seconds to the verdict over the days on which the bad release was found guilty; NaN if
     * there are none.
     */
    static double secondsToVerdict(List<Result> results, double quantile) {
        return quantile(
                results.stream()
                        .filter(Result::caught)
                        .mapToDouble(Result::secondsToVerdict)
                        .sorted()
                        .toArray(),
                quantile);
    }

    /** Returns a quantile of the number of harmed requests in a day; NaN if there are no days. */
    static double harmedRequests(List<Result> results, double quantile) {
        return quantile(
                results.stream().mapToDouble(Result::harmedRequests).sorted().toArray(), quantile);
    }

    private static double quantile(double[] sorted, double quantile) {
        if (sorted.length == 0) {
            return Double.NaN;
        }
        return sorted[(int) Math.min(sorted.length - 1, quantile * sorted.length)];
    }
}
