package laurelkeel.decision;

import java.util.List;
import java.util.function.ToIntFunction;
import laurelkeel.api.Settings;
import laurelkeel.decision.RateComparison.MinimumSample;
import org.jspecify.annotations.Nullable;

/**
 * Looks for a regression of a candidate build against its baseline in error rate, complaint rate and latency, over the
 * seconds in which both had outcomes.
 */
final class BuildComparison {
    /** Required of a single node. More are required of many nodes, because some of them see a difference by chance. */
    private static final double SINGLE_NODE_STANDARD_ERRORS = 3.0;

    /** Traffic shares change from stage to stage; within a span of this length they are treated as constant. */
    private static final long SPAN_SECONDS = 5;

    private static final int MIN_ATTEMPTS = 20;
    private static final int MIN_ATTEMPTS_PER_ROUTE = 10;
    private static final int MIN_ERRORS = 3;
    /** Used if a rollback needs several votes. A single node whose vote decides has to be more certain. */
    private static final int MIN_ERRORS_WITH_SEVERAL_VOTES = 2;

    private static final int MIN_COMPLAINTS = 5;

    /** If the baseline's error rate exceeds this, the requests themselves are assumed to cause errors. */
    private static final double MAX_BASELINE_ERROR_RATE = 0.05;

    private static final int MIN_OUTCOMES_PER_ENDPOINT = 5;
    /** An endpoint's smoothed error rate exceeds this for about twenty outcomes after an error. */
    private static final double RECENT_ERROR_RATE = EndpointHealth.ERROR_RATE_SMOOTHING / 10;

    private static final double NO_LIMIT = Double.POSITIVE_INFINITY;

    private final OutcomeHistory ownOutcomes;
    private final OutcomeHistory allNodesOutcomes;
    private final int routeCount;
    private final int minErrors;
    private final RateComparison rates;
    private final LatencyComparison latencies;
    private final AllEndpointsSlowdownDetector slowdownDetector;

    /**
     * Creates the comparison of a node.
     *
     * @param ownOutcomes outcomes of this node's attempts
     * @param allNodesOutcomes outcomes of all nodes' attempts, as counted by the platform
     */
    BuildComparison(Settings settings, OutcomeHistory ownOutcomes, OutcomeHistory allNodesOutcomes) {
        this.ownOutcomes = ownOutcomes;
        this.allNodesOutcomes = allNodesOutcomes;
        routeCount = settings.routes().size();
        minErrors = settings.rollout().rollBackVotes() > 1 ? MIN_ERRORS_WITH_SEVERAL_VOTES : MIN_ERRORS;
        double standardErrors =
                requiredStandardErrors(settings.nodeCount(), settings.rollout().rollBackVotes());
        rates = new RateComparison(standardErrors);
        latencies = new LatencyComparison(standardErrors);
        slowdownDetector = new AllEndpointsSlowdownDetector(standardErrors / SINGLE_NODE_STANDARD_ERRORS);
    }

    /**
     * Returns the number of standard errors that a node requires of a difference. The fewer of the nodes' votes suffice
     * for a rollback, the more certain each node has to be.
     */
    static double requiredStandardErrors(int nodeCount, int rollBackVotes) {
        double nodesPerVote = nodeCount / (double) Math.max(1, rollBackVotes);
        return Math.sqrt(
                SINGLE_NODE_STANDARD_ERRORS * SINGLE_NODE_STANDARD_ERRORS + 2 * Math.log(Math.max(1, nodesPerVote)));
    }

    /**
     * Returns the evidence against a candidate build, or null if there is none.
     *
     * @param isBaselineServing whether the baseline still serves; if not, as after the release, its last recorded
     *     outcomes are used
     * @param endpoints the active endpoints of the candidate
     */
    @Nullable
    Regression findRegression(
            int candidate, int baseline, boolean isBaselineServing, List<Endpoint> endpoints, long nowTicks) {
        Regression regression = findHigherRate(candidate, baseline, isBaselineServing, endpoints, nowTicks);
        if (regression == null && isBaselineServing) {
            // after the release the builds share no seconds, and a change in load would look like a slow build
            regression = latencies.compare(
                    ownOutcomes.totalInSharedSeconds(candidate, baseline).overall(),
                    ownOutcomes.totalInSharedSeconds(baseline, candidate).overall(),
                    endpoints.stream().map(Endpoint::latency).toList());
        }
        return regression == null ? slowdownDetector.detect(ownOutcomes, nowTicks) : regression;
    }

    private @Nullable Regression findHigherRate(
            int candidate, int baseline, boolean isBaselineServing, List<Endpoint> endpoints, long nowTicks) {
        List<ComparedOutcomes> own = spans(ownOutcomes, candidate, baseline, isBaselineServing, nowTicks);
        RouteOutcomes ownTotal = ownOutcomes.total(candidate);
        // with many nodes, each one sees few attempts
        boolean needsAllNodes = ownTotal.overall().attempts() < MIN_ATTEMPTS;
        List<ComparedOutcomes> allNodes =
                needsAllNodes ? spans(allNodesOutcomes, candidate, baseline, isBaselineServing, nowTicks) : List.of();
        boolean isFaultOfOneEndpoint = isFaultOfOneEndpoint(endpoints);
        ToIntFunction<BuildOutcomes> errors = countedErrors(baseline, isBaselineServing);
        for (int i = 0; i <= routeCount; i++) {
            int route = i < routeCount ? i : RouteOutcomes.ALL_ROUTES;
            int minAttempts = i < routeCount ? MIN_ATTEMPTS_PER_ROUTE : MIN_ATTEMPTS;
            boolean isErrorRateHigher =
                    rates.isHigherAtCandidate(own, route, errors, new MinimumSample(minAttempts, minErrors), NO_LIMIT)
                            || (needsAllNodes
                                    // the platform counts warm-up timeouts too: an error of this node must confirm it
                                    && ownTotal.of(route).failures() > 0
                                    && rates.isHigherAtCandidate(
                                            allNodes,
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

    /**
     * Returns the count of errors to compare. If requests fail at the baseline too, or the baseline no longer serves,
     * only errors count after which another attempt served the request: the request itself did not cause these.
     */
    private ToIntFunction<BuildOutcomes> countedErrors(int baseline, boolean isBaselineServing) {
        BuildOutcomes total = ownOutcomes.total(baseline).overall();
        boolean isBaselineFailing = total.failures() > MAX_BASELINE_ERROR_RATE * total.attempts();
        return isBaselineServing && !isBaselineFailing ? BuildOutcomes::failures : BuildOutcomes::recoveredFailures;
    }

    /** Returns whether several endpoints have had outcomes, and fewer than two of them have had a recent error. */
    private static boolean isFaultOfOneEndpoint(List<Endpoint> endpoints) {
        long withOutcomes = endpoints.stream()
                .filter(e -> e.health().outcomeCount() >= MIN_OUTCOMES_PER_ENDPOINT)
                .count();
        long withRecentErrors = endpoints.stream()
                .filter(e -> e.health().errorRate() > RECENT_ERROR_RATE)
                .count();
        return withOutcomes > 1 && withRecentErrors < 2;
    }
}
