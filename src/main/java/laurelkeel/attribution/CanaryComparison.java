package laurelkeel.attribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntPredicate;
import laurelkeel.attribution.AttributionFinding.Kind;
import org.jspecify.annotations.Nullable;

/**
 * Compares one canary, second by second, with the reference builds that serve at the same time.
 *
 * <p>Shares of bad outcomes are compared only between attempts of the same node and route, because within these the
 * choice of the build does not depend on the attempt. Latencies are compared by route, over all nodes. Not thread-safe.
 */
final class CanaryComparison {
    private static final int WINDOW_SECONDS = 30;

    /**
     * Weights of the kinds of evidence. They sum to 1: {@link #SLOW_WEIGHT} counts twice, for seconds of low
     * and of high load (see {@link LoadClassifier.Level}).
     */
    private static final double FAILED_WEIGHT = 0.4;

    private static final double UNANSWERED_WEIGHT = 0.15;
    private static final double WRONG_WEIGHT = 0.2;
    private static final double SLOW_WEIGHT = 0.125;

    private static final int MIN_ATTEMPTS_WITHOUT_OTHERS = 50;
    private static final int MIN_ATTEMPTS_WITH_OTHERS = 20;
    private static final double MIN_BAD_SHARE_WITH_OTHERS = 0.02;
    private static final double MIN_RATIO_WITH_OTHERS = 8;

    private static final Set<BadOutcome> ANSWERED_KINDS = EnumSet.of(BadOutcome.FAILED, BadOutcome.WRONG);
    private static final Set<BadOutcome> UNANSWERED_KINDS = EnumSet.of(BadOutcome.UNANSWERED);

    /** The attempts of one node and route at the canary and at the reference builds. */
    private static final class Stratum {
        private final AttemptCounts canary = new AttemptCounts();
        private final AttemptCounts reference = new AttemptCounts();

        void add(NodeReport.Cell cell, boolean isCanary) {
            (isCanary ? canary : reference).add(cell);
        }

        boolean isComparable() {
            return canary.attempts() > 0 && reference.attempts() > 0;
        }

        ContingencyTable table(BadOutcome kind) {
            return new ContingencyTable(
                    canary.count(kind),
                    canary.attempts(),
                    canary.count(kind) + reference.count(kind),
                    canary.attempts() + reference.attempts());
        }
    }

    /** The share differences and the number of canary attempts of one second. */
    private static final class SecondSummary {
        private final PerBadOutcome<ShareDifference> differences = new PerBadOutcome<>(ShareDifference::new);
        private int canaryAttempts;
    }

    private final int build;
    private final long startedAtSecond;
    private final PerBadOutcome<CountEvidence> countEvidence;
    private final LatencyEvidence calmLatencyEvidence = new LatencyEvidence();
    private final LatencyEvidence busyLatencyEvidence = new LatencyEvidence();
    private final LatencyRatioWindow calmLatencyRatio = new LatencyRatioWindow(WINDOW_SECONDS);
    private final LatencyRatioWindow busyLatencyRatio = new LatencyRatioWindow(WINDOW_SECONDS);
    private final Deque<SecondSummary> recentSeconds = new ArrayDeque<>();
    private final Set<String> excludedEndpoints = new HashSet<>();
    private final Set<Integer> excludedTenants = new HashSet<>();
    private final AttemptCounts countsWithoutOtherCanaries = new AttemptCounts();
    private final AttemptCounts countsWithOtherCanaries = new AttemptCounts();
    private @Nullable Kind regressionKind;

    CanaryComparison(int build, long startedAtSecond, int routeCount) {
        this.build = build;
        this.startedAtSecond = startedAtSecond;
        countEvidence = new PerBadOutcome<>(() -> new CountEvidence(routeCount));
    }

    int build() {
        return build;
    }

    /** Returns the second in which the rollout started. */
    long startedAtSecond() {
        return startedAtSecond;
    }

    boolean hasAttributedRegression() {
        return regressionKind != null;
    }

    /** Returns the kind of the regression that is attributed to the canary, or null. */
    @Nullable
    Kind regressionKind() {
        return regressionKind;
    }

    /** Attributes a regression to the canary; the attribution is never removed. */
    void attributeRegression(Kind kind) {
        regressionKind = kind;
    }

    /**
     * Adds the reports of one second.
     *
     * @param isReference whether a build is a reference build
     * @param traffic the traffic of the last seconds, including this one
     * @param otherCanariesHaveTraffic whether other canaries have traffic in this second
     * @param load the load of this second relative to the last minute
     */
    void addSecond(
            ReportedSecond second,
            IntPredicate isReference,
            RecentTraffic traffic,
            boolean otherCanariesHaveTraffic,
            LoadClassifier.Level load) {
        countEvidence.forEach(evidence -> evidence.beginSecond(second.nodeCount()));
        ComparisonFilter filter = new ComparisonFilter(build, isReference, traffic);
        recordExclusions(filter);
        // with a single endpoint, an endpoint that does not answer or is slow cannot be distinguished from such a build
        boolean hasSeveralEndpoints = traffic.endpointCount(build) > 1;
        SecondSummary summary = new SecondSummary();
        SecondLatencyComparison latencies = new SecondLatencyComparison();
        AttemptCounts canaryCounts = otherCanariesHaveTraffic ? countsWithOtherCanaries : countsWithoutOtherCanaries;
        second.cellsByNode().forEach((node, cells) -> {
            List<NodeReport.Cell> accepted =
                    cells.stream().filter(filter::accepts).toList();
            compareShares(node, accepted, ANSWERED_KINDS, summary);
            for (NodeReport.Cell cell : accepted) {
                if (filter.isCanary(cell)) {
                    latencies.addCanary(cell);
                    summary.canaryAttempts += cell.tries();
                    canaryCounts.add(cell);
                } else {
                    latencies.addReference(cell);
                }
            }
            if (hasSeveralEndpoints) {
                List<NodeReport.Cell> withoutLeastResponsive =
                        cells.stream().filter(filter::acceptsForUnanswered).toList();
                compareShares(node, withoutLeastResponsive, UNANSWERED_KINDS, summary);
            }
        });
        addLogRatio(hasSeveralEndpoints ? latencies.medianLogRatio() : Double.NaN, load);
        recentSeconds.addLast(summary);
        if (recentSeconds.size() > WINDOW_SECONDS) {
            recentSeconds.removeFirst();
        }
    }

    private void recordExclusions(ComparisonFilter filter) {
        RecentTraffic.addIfPresent(filter.outlierEndpoint(), excludedEndpoints);
        if (filter.excludedTenant() != RecentTraffic.NO_TENANT) {
            excludedTenants.add(filter.excludedTenant());
        }
    }

    private void compareShares(int node, List<NodeReport.Cell> cells, Set<BadOutcome> kinds, SecondSummary summary) {
        Map<Integer, Stratum> strataByRoute = new TreeMap<>();
        for (NodeReport.Cell cell : cells) {
            strataByRoute.computeIfAbsent(cell.route(), unused -> new Stratum()).add(cell, cell.build() == build);
        }
        strataByRoute.forEach((route, stratum) -> {
            if (stratum.isComparable()) {
                for (BadOutcome kind : kinds) {
                    countEvidence.get(kind).add(node, route, stratum.table(kind));
                    summary.differences.get(kind).add(stratum.canary, stratum.reference, kind);
                }
            }
        });
    }

    /**
     * Adds a second's latency ratio to the evidence of calm or busy seconds, or to both. They are separate so that calm
     * seconds do not hide a build that is slow only under load.
     */
    private void addLogRatio(double logRatio, LoadClassifier.Level load) {
        boolean isCalm = load != LoadClassifier.Level.BUSY;
        boolean isBusy = load != LoadClassifier.Level.CALM;
        calmLatencyEvidence.addSecond(isCalm ? logRatio : Double.NaN);
        busyLatencyEvidence.addSecond(isBusy ? logRatio : Double.NaN);
        if (Double.isNaN(logRatio)) {
            return;
        }
        if (isCalm) {
            calmLatencyRatio.add(logRatio);
        }
        if (isBusy) {
            busyLatencyRatio.add(logRatio);
        }
    }

    /** Returns the evidence so far that the canary is worse than the reference builds. */
    LogEvidence evidence() {
        LogEvidence evidence = new LogEvidence();
        putCountEvidence(BadOutcome.FAILED, FAILED_WEIGHT, evidence);
        putCountEvidence(BadOutcome.UNANSWERED, UNANSWERED_WEIGHT, evidence);
        putCountEvidence(BadOutcome.WRONG, WRONG_WEIGHT, evidence);
        evidence.put(
                Kind.SLOW,
                SLOW_WEIGHT,
                LogProbability.logSumExp(calmLatencyEvidence.logEValue(), busyLatencyEvidence.logEValue()));
        return evidence;
    }

    private void putCountEvidence(BadOutcome kind, double weight, LogEvidence evidence) {
        evidence.put(kind.findingKind(), weight, countEvidence.get(kind).logEValue());
    }

    /** Returns the number of the canary's attempts in the last 30 seconds, without excluded endpoints and tenants. */
    int recentAttempts() {
        return recentSeconds.stream().mapToInt(second -> second.canaryAttempts).sum();
    }

    /**
     * Returns in how many of the last 30 seconds the canary had attempts, not counting excluded endpoints and tenants.
     */
    int recentSecondsWithAttempts() {
        return (int) recentSeconds.stream()
                .filter(second -> second.canaryAttempts > 0)
                .count();
    }

    /**
     * Estimates, over the last 30 seconds, by how much the canary's share of attempts with a bad outcome exceeds that
     * of the reference builds.
     *
     * @param standardErrors half width of the confidence interval, in standard errors
     */
    Estimate shareDifference(BadOutcome kind, double standardErrors) {
        ShareDifference sum = new ShareDifference();
        recentSeconds.forEach(second -> sum.add(second.differences.get(kind)));
        return sum.estimate(standardErrors);
    }

    /**
     * Estimates the ratio of the canary's latencies to those of the reference builds, in the last 30 calm or the last
     * 30 busy seconds, whichever has the higher upper limit.
     *
     * @param standardErrors half width of the confidence interval of the log ratio, in standard errors
     */
    Estimate latencyRatio(double standardErrors) {
        Estimate calm = calmLatencyRatio.estimate(standardErrors);
        Estimate busy = busyLatencyRatio.estimate(standardErrors);
        return calm.high() > busy.high() ? calm : busy;
    }

    /**
     * Returns whether the canary's share of bad answers is more than 2%, and more than 8 times as high as otherwise,
     * while other canaries have traffic.
     */
    boolean isBadOnlyWithOtherCanaries() {
        return countsWithoutOtherCanaries.attempts() >= MIN_ATTEMPTS_WITHOUT_OTHERS
                && countsWithOtherCanaries.attempts() >= MIN_ATTEMPTS_WITH_OTHERS
                && countsWithOtherCanaries.badAnswerShare() > MIN_BAD_SHARE_WITH_OTHERS
                && countsWithoutOtherCanaries.badAnswerShare() * MIN_RATIO_WITH_OTHERS
                        < countsWithOtherCanaries.badAnswerShare();
    }

    /** Describes for operators which endpoints of the canary were excluded as outliers, and which tenants. */
    List<String> exclusions() {
        List<String> sentences = new ArrayList<>();
        excludedEndpoints.forEach(endpointId ->
                sentences.add("machine " + endpointId + " alone had most of this build's trouble: left out"));
        excludedTenants.forEach(
                tenant -> sentences.add("customer " + tenant + " has as much trouble on other builds: left out"));
        return sentences;
    }
}
