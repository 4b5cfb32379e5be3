package laurelkeel.bench;

import java.util.List;
import java.util.function.Predicate;
import laurelkeel.bench.AttributionScenario.Result;

/** Figures of many generated days. */
final class ResultStatistics {
    private static final double HUNDRED = 100.0;

    private ResultStatistics() {}

    /** Of a hundred days, how many are such; undefined where there are no days. */
    static double percent(List<Result> results, Predicate<Result> condition) {
        return HUNDRED * results.stream().filter(condition).count() / results.size();
    }

    /** A quantile of the seconds to the verdict on the days on which the bad release was caught. */
    static double secondsToVerdict(List<Result> results, double quantile) {
        return quantile(
                results.stream()
                        .filter(Result::caught)
                        .mapToDouble(Result::seconds)
                        .sorted()
                        .toArray(),
                quantile);
    }

    /** A quantile of the requests that were harmed. */
    static double harm(List<Result> results, double quantile) {
        return quantile(results.stream().mapToDouble(Result::harm).sorted().toArray(), quantile);
    }

    private static double quantile(double[] sorted, double quantile) {
        if (sorted.length == 0) {
            return Double.NaN;
        }
        return sorted[(int) Math.min(sorted.length - 1, quantile * sorted.length)];
    }
}
