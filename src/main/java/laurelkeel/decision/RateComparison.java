package laurelkeel.decision;

import java.util.List;
import java.util.function.ToIntFunction;

/**
 * Tests whether something happens more often at a candidate build than at its baseline, with the Mantel-Haenszel weights
 * over spans of time and routes.
 *
 * <p>Each span and route is compared by itself. If they were summed first, a share of the traffic that changes with time
 * or route would pass for a difference of the builds.
 */
final class RateComparison {
    /** A difference of the rates below it is not worth a rollback, however sure it is. */
    private static final double MIN_DIFFERENCE = 0.02;

    private final double requiredStandardErrors;

    /** @param requiredStandardErrors how many standard errors of it a difference must exceed */
    RateComparison(double requiredStandardErrors) {
        this.requiredStandardErrors = requiredStandardErrors;
    }

    /**
     * The least evidence that counts, of the candidate's attempts.
     *
     * @param attempts how many there have to be
     * @param events in how many of them what is compared has to have happened
     */
    record MinimumSample(int attempts, int events) {}

    /**
     * Whether an event is surely more frequent at the candidate.
     *
     * @param route index of the route, or {@link RouteOutcomes#ALL_ROUTES}
     * @param events counts the event in a build's outcomes
     * @param independentAttempts most attempts that count as independent: where outcomes cannot be told apart by
     *     endpoint, a few endpoints that always fail are no faulty build
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
            double candidateHits = counter.applyAsInt(candidate);
            double baselineHits = counter.applyAsInt(baseline);
            double stratumWeight = candidateTotal * baselineTotal / (candidateTotal + baselineTotal);
            difference += stratumWeight * (candidateHits / candidateTotal - baselineHits / baselineTotal);
            weight += stratumWeight;
            attempts += candidateTotal + baselineTotal;
            events += candidateHits + baselineHits;
            candidateAttempts += candidateTotal;
            candidateEvents += candidateHits;
        }

        /** Returns the standard error by the rate over all: a stratum of few attempts shows too little of its own. */
        double standardError(double independentAttempts) {
            double rate = events / attempts;
            return Math.sqrt(weight * events / attempts * Math.max(0, 1 - rate))
                    * Math.sqrt(Math.max(1, weight / independentAttempts));
        }
    }
}
