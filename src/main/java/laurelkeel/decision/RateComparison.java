package laurelkeel.decision;

import java.util.List;
import java.util.function.ToIntFunction;

/**
 * Tests whether an event is more frequent at a candidate build than at its baseline, with Mantel-Haenszel weights over
 * strata of one time span and route each.
 *
 * <p>The builds are compared within each stratum. If outcomes were summed first, a traffic share that changes with time or
 * route would look like a difference between the builds.
 */
final class RateComparison {
    /** A smaller difference between the rates does not justify a rollback, however certain it is. */
    private static final double MIN_DIFFERENCE = 0.02;

    private final double requiredStandardErrors;

    /** @param requiredStandardErrors number of its standard errors that a difference must exceed */
    RateComparison(double requiredStandardErrors) {
        this.requiredStandardErrors = requiredStandardErrors;
    }

    /**
     * The smallest sample of the candidate's attempts that is compared.
     *
     * @param attempts minimum number of attempts
     * @param events minimum number of events among them
     */
    record MinimumSample(int attempts, int events) {}

    /**
     * Returns whether an event is significantly more frequent at the candidate.
     *
     * @param route index of the route, or {@link RouteOutcomes#ALL_ROUTES}
     * @param events counts the event in a build's outcomes
     * @param independentAttempts upper limit on the attempts that count as independent. If the endpoints of the outcomes
     *     are not known, it keeps a few endpoints that always fail from looking like a faulty build.
     */
    boolean isHigherAtCandidate(
            List<ComparedOutcomes> spans,
            int route,
            ToIntFunction<BuildOutcomes> events,
            MinimumSample minimum,
            double independentAttempts) {
        Sums sums = new Sums();
        for (ComparedOutcomes span : spans) {
            for (int r = 0; r < span.candidate().routeCount(); r++) {
                if (route == RouteOutcomes.ALL_ROUTES || r == route) {
                    sums.add(span.candidate().of(r), span.baseline().of(r), events);
                }
            }
        }
        return sums.candidateAttempts >= minimum.attempts()
                && sums.candidateEvents >= minimum.events()
                && sums.difference > MIN_DIFFERENCE * sums.weight
                && sums.difference > requiredStandardErrors * sums.standardError(independentAttempts);
    }

    private static final class Sums {
        /** Sum of the weighted differences of the rates. */
        private double difference;

        private double weight;
        private double attempts;
        private double events;
        private double candidateAttempts;
        private double candidateEvents;

        void add(BuildOutcomes candidate, BuildOutcomes baseline, ToIntFunction<BuildOutcomes> counter) {
            double candidateTotal = candidate.attempts();
            double baselineTotal = baseline.attempts();
            if (candidateTotal <= 0 || baselineTotal <= 0) {
                return;
            }
            double candidateCount = counter.applyAsInt(candidate);
            double baselineCount = counter.applyAsInt(baseline);
            double stratumWeight = candidateTotal * baselineTotal / (candidateTotal + baselineTotal);
            difference += stratumWeight * (candidateCount / candidateTotal - baselineCount / baselineTotal);
            weight += stratumWeight;
            attempts += candidateTotal + baselineTotal;
            events += candidateCount + baselineCount;
            candidateAttempts += candidateTotal;
            candidateEvents += candidateCount;
        }

        /**
         * Returns the standard error, by the overall rate because a stratum of few attempts is too small to estimate its
         * own.
         */
        double standardError(double independentAttempts) {
            double rate = events / attempts;
            return Math.sqrt(weight * events / attempts * Math.max(0, 1 - rate))
                    * Math.sqrt(Math.max(1, weight / independentAttempts));
        }
    }
}
