package laurelkeel.decision;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Tests whether a candidate build answers more slowly than its baseline: by the answers of both, and on most of its
 * endpoints, for one slow endpoint is no slow build.
 */
final class LatencyComparison {
    /** The candidate's mean latency must exceed the baseline's by this factor. */
    private static final double MIN_SLOWDOWN = 2;

    /** It must surely exceed it by this factor, and each slow endpoint must exceed it. */
    private static final double MIN_SURE_SLOWDOWN = 1.5;

    private static final int MIN_ANSWERS = 40;
    private static final int MIN_ANSWERS_PER_ENDPOINT = 5;
    private static final int MIN_SLOW_ENDPOINTS = 2;
    // five of six
    private static final int SLOW_ENDPOINTS_NUMERATOR = 5;
    private static final int SLOW_ENDPOINTS_DENOMINATOR = 6;

    private final double requiredStandardErrors;

    /** @param requiredStandardErrors how many standard errors of it a difference must exceed */
    LatencyComparison(double requiredStandardErrors) {
        this.requiredStandardErrors = requiredStandardErrors;
    }

    /** Returns the finding against the candidate, or null where there is none. */
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
                Math.sqrt(candidate.latencyRatioErrorSquared(ratio) + baseline.latencyRatioErrorSquared(baselineRatio));
        boolean isSlower = ratio > MIN_SLOWDOWN * baselineRatio
                && ratio - MIN_SURE_SLOWDOWN * baselineRatio > requiredStandardErrors * standardError;
        return isSlower
                ? new Regression.HigherLatency(
                        ratio, candidate.latencySampleCount(), baselineRatio, baseline.latencySampleCount())
                : null;
    }

    private static boolean areMostSlow(List<EndpointLatency> endpoints) {
        List<EndpointLatency> rated = endpoints.stream()
                .filter(e -> e.warmAnswerCount() >= MIN_ANSWERS_PER_ENDPOINT)
                .toList();
        long slow = rated.stream()
                .filter(e -> e.meanRatioToExpected() > MIN_SURE_SLOWDOWN)
                .count();
        return slow >= MIN_SLOW_ENDPOINTS
                && slow * SLOW_ENDPOINTS_DENOMINATOR >= (long) rated.size() * SLOW_ENDPOINTS_NUMERATOR;
    }
}
