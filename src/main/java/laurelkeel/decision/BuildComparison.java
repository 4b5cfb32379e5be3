package laurelkeel.decision;

import java.util.List;
import java.util.function.ToIntFunction;
import laurelkeel.api.Settings;
import laurelkeel.decision.RateComparison.MinimumSample;
import org.jspecify.annotations.Nullable;

/**
 * Looks for a regression of a build beside its baseline: in errors, complaints and latency, over the seconds in which
 * both were seen.
 */
final class BuildComparison {
    /** Of many nodes, some see a difference by mere chance. */
    private static final double STANDARD_ERRORS_OF_ONE_NODE = 3.0;

    /** Shares of the traffic change with the stages; within a span they count as constant. */
    private static final long SPAN_SECONDS = 5;

    private static final int MIN_ATTEMPTS = 20;
    private static final int MIN_ATTEMPTS_PER_ROUTE = 10;
    private static final int MIN_ERRORS = 3;
    /** Enough where several votes are needed: one node's finding alone must be surer than one that others share. */
    private static final int MIN_SHARED_ERRORS = 2;

    private static final int MIN_COMPLAINTS = 5;

    /** From this error rate of the baseline on, requests themselves are a cause of errors. */
    private static final double MAX_BASELINE_ERROR_RATE = 0.05;

    private static final int MIN_OUTCOMES_PER_ENDPOINT = 5;
    /** The error rate of an endpoint is above it for about twenty outcomes after an error. */
    private static final double RECENT_ERROR_RATE = EndpointHealth.ERROR_RATE_SMOOTHING / 10;

    private static final double NO_LIMIT = Double.POSITIVE_INFINITY;

    private final OutcomeHistory ownOutcomes;
    private final OutcomeHistory allNodesOutcomes;
    private final int routeCount;
    private final int minErrors;
    private final RateComparison rates;
    private final LatencyComparison latencies;
    private final AllEndpointsSlowdownDetector fleetSlowdown;

    /**
     * Creates the comparison of a node.
     *
     * @param ownOutcomes of this node's attempts
     * @param fleetOutcomes what the platform has counted of all nodes' attempts
     */
    BuildComparison(Settings settings, OutcomeHistory ownOutcomes, OutcomeHistory fleetOutcomes) {
        this.ownOutcomes = ownOutcomes;
        this.allNodesOutcomes = fleetOutcomes;
        routeCount = settings.routes().size();
        minErrors = settings.rollout().rollBackVotes() > 1 ? MIN_SHARED_ERRORS : MIN_ERRORS;
        double standardErrors =
                requiredStandardErrors(settings.nodeCount(), settings.rollout().rollBackVotes());
        rates = new RateComparison(standardErrors);
        latencies = new LatencyComparison(standardErrors);
        fleetSlowdown = new AllEndpointsSlowdownDetector(standardErrors / STANDARD_ERRORS_OF_ONE_NODE);
    }

    /** Returns how sure each node has to be: the surer, the fewer of the nodes' votes roll a build back. */
    static double requiredStandardErrors(int nodeCount, int rollBackVotes) {
        double nodesPerVote = nodeCount / (double) Math.max(1, rollBackVotes);
        return Math.sqrt(
                STANDARD_ERRORS_OF_ONE_NODE * STANDARD_ERRORS_OF_ONE_NODE + 2 * Math.log(Math.max(1, nodesPerVote)));
    }

    /**
     * Returns the evidence against a build, or null where there is none.
     *
     * @param isBaselineServing whether the baseline serves beside it; after the release its last seconds stand
     * @param endpoints the active endpoints of the candidate
     */
    @Nullable
    Regression find(int candidate, int baseline, boolean isBaselineServing, List<Endpoint> endpoints, long nowTicks) {
        Regression regression = findHigherRate(candidate, baseline, isBaselineServing, endpoints, nowTicks);
        if (regression == null && isBaselineServing) {
            // after the release no seconds are shared, and a change of the load would pass for a slow build
            regression = latencies.compare(
                    ownOutcomes.totalBeside(candidate, baseline).overall(),
                    ownOutcomes.totalBeside(baseline, candidate).overall(),
                    endpoints.stream().map(Endpoint::latency).toList());
        }
        return regression == null ? fleetSlowdown.detect(ownOutcomes, nowTicks) : regression;
    }

    private @Nullable Regression findHigherRate(
            int candidate, int baseline, boolean isBaselineServing, List<Endpoint> endpoints, long nowTicks) {
        List<ComparedOutcomes> own = spans(ownOutcomes, candidate, baseline, isBaselineServing, nowTicks);
        RouteOutcomes ownTotal = ownOutcomes.total(candidate);
        // of many nodes, each sees few attempts
        boolean isFleetNeeded = ownTotal.overall().attempts() < MIN_ATTEMPTS;
        List<ComparedOutcomes> fleet =
                isFleetNeeded ? spans(allNodesOutcomes, candidate, baseline, isBaselineServing, nowTicks) : List.of();
        boolean isFaultOfOneEndpoint = isFaultOfOneEndpoint(endpoints);
        ToIntFunction<BuildOutcomes> errors = countedErrors(baseline, isBaselineServing);
        for (int i = 0; i <= routeCount; i++) {
            int route = i < routeCount ? i : RouteOutcomes.ALL_ROUTES;
            int minAttempts = i < routeCount ? MIN_ATTEMPTS_PER_ROUTE : MIN_ATTEMPTS;
            boolean isErrorRateHigher = rates.isHigherAtCandidate(
                            own, route, errors, new MinimumSample(minAttempts, minErrors), NO_LIMIT)
                    || (isFleetNeeded
                            // the platform counts timeouts of endpoints that warm up too: an own error must agree
                            && ownTotal.of(route).failures() > 0
                            && rates.isHigherAtCandidate(
                                    fleet,
                                    route,
                                    BuildOutcomes::failures,
                                    new MinimumSample(minAttempts, MIN_ERRORS),
                                    endpoints.size()));
            if (isErrorRateHigher && !isFaultOfOneEndpoint) {
                return new Regression.HigherErrorRate(route);
            }
            MinimumSample minComplaints = new MinimumSample(MIN_ATTEMPTS, MIN_COMPLAINTS);
            if (rates.isHigherAtCandidate(own, route, BuildOutcomes::complaints, minComplaints, NO_LIMIT)) {
                return new Regression.HigherComplaintRate(route);
            }
        }
        return null;
    }

    private static List<ComparedOutcomes> spans(
            OutcomeHistory history, int candidate, int baseline, boolean isBaselineServing, long nowTicks) {
        return isBaselineServing
                ? history.compare(candidate, baseline, SPAN_SECONDS, nowTicks)
                : history.compareAsOneSpan(candidate, baseline, nowTicks);
    }

    /** Where requests fail at the baseline too, only an error that another attempt recovered speaks of its build. */
    private ToIntFunction<BuildOutcomes> countedErrors(int baseline, boolean isBaselineServing) {
        BuildOutcomes total = ownOutcomes.total(baseline).overall();
        boolean isBaselineFailing = total.failures() > MAX_BASELINE_ERROR_RATE * total.attempts();
        return isBaselineServing && !isBaselineFailing ? BuildOutcomes::failures : BuildOutcomes::recoveredFailures;
    }

    /** Whether several endpoints have been heard of, and fewer than two of them have erred of late. */
    private static boolean isFaultOfOneEndpoint(List<Endpoint> endpoints) {
        long heard = endpoints.stream()
                .filter(e -> e.health().outcomeCount() >= MIN_OUTCOMES_PER_ENDPOINT)
                .count();
        long erring = endpoints.stream()
                .filter(e -> e.health().errorRate() > RECENT_ERROR_RATE)
                .count();
        return heard > 1 && erring < 2;
    }
}
