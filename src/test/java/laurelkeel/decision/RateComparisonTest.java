package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import laurelkeel.decision.RateComparison.MinimumSample;
import org.junit.jupiter.api.Test;

class RateComparisonTest {
    private static final MinimumSample MINIMUM = new MinimumSample(20, 3);
    private static final double ALL_INDEPENDENT = Double.POSITIVE_INFINITY;

    private final RateComparison comparison = new RateComparison(3);
    private final List<ComparedOutcomes> spans = new ArrayList<>();

    private void span(int route, int attempts, int failures, int baselineAttempts, int baselineFailures) {
        RouteOutcomes candidate = new RouteOutcomes(2);
        candidate.add(route, outcomes(attempts, failures));
        RouteOutcomes baseline = new RouteOutcomes(2);
        baseline.add(route, outcomes(baselineAttempts, baselineFailures));
        spans.add(new ComparedOutcomes(candidate, baseline));
    }

    private static BuildOutcomes outcomes(int attempts, int failures) {
        BuildOutcomes outcomes = new BuildOutcomes();
        outcomes.addAttempts(attempts, failures);
        return outcomes;
    }

    private boolean isHigher(int route, double independentAttempts) {
        return comparison.isHigherAtCandidate(spans, route, BuildOutcomes::failures, MINIMUM, independentAttempts);
    }

    private boolean isHigher() {
        return isHigher(RouteOutcomes.ALL_ROUTES, ALL_INDEPENDENT);
    }

    @Test
    void findsAClearDifference() {
        span(0, 100, 20, 400, 4);
        assertTrue(isHigher());
        assertTrue(isHigher(0, ALL_INDEPENDENT));
        assertFalse(isHigher(1, ALL_INDEPENDENT), "no outcomes on that route");
    }

    @Test
    void ignoresEqualRatesAndInsignificantDifferences() {
        span(0, 100, 20, 400, 80);
        assertFalse(isHigher());
        spans.clear();
        span(0, 100, 3, 400, 4);
        assertFalse(isHigher(), "less than three standard errors");
    }

    @Test
    void ignoresSignificantDifferencesBelowTwoPercent() {
        span(0, 100_000, 1_500, 100_000, 0);
        assertFalse(isHigher());
        span(0, 100_000, 3_000, 100_000, 0);
        assertTrue(isHigher());
    }

    @Test
    void ignoresSmallSamples() {
        span(0, 19, 19, 400, 0);
        assertFalse(isHigher(), "too few attempts");
        spans.clear();
        span(0, 20, 2, 400, 0);
        assertFalse(isHigher(), "too few failures");
    }

    /**
     * The rates are equal within each span. Summed over the spans, however, 92 of 200 attempts fail at the candidate and 28 of
     * 200 at the baseline.
     */
    @Test
    void ignoresARisingTrafficShareWhileBothBuildsFailMore() {
        span(0, 20, 2, 180, 18);
        span(0, 180, 90, 20, 10);
        assertFalse(isHigher());
    }

    @Test
    void ignoresSpansThatLackOneBuild() {
        span(0, 100, 100, 0, 0);
        assertFalse(isHigher());
    }

    @Test
    void requiresALargerDifferenceIfFewAttemptsAreIndependent() {
        span(0, 100, 20, 400, 4);
        assertFalse(isHigher(RouteOutcomes.ALL_ROUTES, 2));
    }

    @Test
    void requiresALargerDifferenceIfMoreStandardErrorsAreRequired() {
        span(0, 100, 8, 400, 8);
        assertTrue(isHigher());
        RateComparison stricter = new RateComparison(5);
        assertFalse(stricter.isHigherAtCandidate(
                spans, RouteOutcomes.ALL_ROUTES, BuildOutcomes::failures, MINIMUM, ALL_INDEPENDENT));
        assertEquals(1, spans.size());
    }
}
