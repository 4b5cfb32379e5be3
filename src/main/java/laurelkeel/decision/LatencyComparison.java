package laurelkeel.decision;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Tests whether a candidate build answers more slowly than its baseline. Besides the answers of both builds it considers
 * each of the candidate's endpoints, because one slow endpoint does not make a slow build.
 */
final class LatencyComparison {
    /** The candidate's mean latency must exceed the baseline's by this factor. */
    private static final double MIN_SLOWDOWN = 2;

    /**
     * The excess over this multiple of the baseline's mean must be statistically significant. It is also the latency ratio
     * from which an endpoint counts as slow.
     */
    private static final double MIN_SIGNIFICANT_SLOWDOWN = 1.5;

    private static final int MIN_ANSWERS = 40;
    private static final int MIN_ANSWERS_PER_ENDPOINT = 5;
    private static final int MIN_SLOW_ENDPOINTS = 2;
    // five out of six measured endpoints have to be slow
    private static final int SLOW_ENDPOINTS_NUMERATOR = 5;
    private static final int SLOW_ENDPOINTS_DENOMINATOR = 6;

    private final double requiredStandardErrors;

    /** @param requiredStandardErrors number of its standard errors that a difference must exceed */
    LatencyComparison(double requiredStandardErrors) {
        this.requiredStandardErrors = requiredStandardErrors;
    }

    /** Returns the finding against the candidate, or null if there is none. */
    Regression.@Nullable HigherLatency compare(
            BuildOutcomes candidate, BuildOutcomes baseline, List<EndpointLatency> candidateEndpoints) {
        if (candidate.latencySampleCount() < MIN_ANSWERS
                || baseline.latencySampleCount() < MIN_ANSWERS
                || !areMostSlow(candidateEndpoints)) {
            return null;
        }
        double ratio = candidate.meanLatencyRatio();
        double baselineRatio = Math.max(1, baseline.meanLatencyRatio());
        double standardError =
                Math.sqrt(candidate.meanLatencyRatioVariance(ratio) + baseline.meanLatencyRatioVariance(baselineRatio));
        boolean isSlower = ratio > MIN_SLOWDOWN * baselineRatio
                && ratio - MIN_SIGNIFICANT_SLOWDOWN * baselineRatio > requiredStandardErrors * standardError;
        return isSlower
                ? new Regression.HigherLatency(
                        ratio, candidate.latencySampleCount(), baselineRatio, baseline.latencySampleCount())
                : null;
    }

    private static boolean areMostSlow(List<EndpointLatency> endpoints) {
        List<EndpointLatency> measured = endpoints.stream()
                .filter(e -> e.warmAnswerCount() >= MIN_ANSWERS_PER_ENDPOINT)
                .toList();
        long slow = measured.stream()
                .filter(e -> e.meanRatioToExpected() > MIN_SIGNIFICANT_SLOWDOWN)
                .count();
        return slow >= MIN_SLOW_ENDPOINTS
                && slow * SLOW_ENDPOINTS_DENOMINATOR >= (long) measured.size() * SLOW_ENDPOINTS_NUMERATOR;
    }
}
