package laurelkeel.attribution;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import laurelkeel.attribution.AttributionFinding.Kind;

/**
 * Attributes a regression to one of several concurrent rollouts, based on the reports of all nodes.
 *
 * <p>It is notified of rollouts that start and end, receives reports and is evaluated once a second. A regression is
 * attributed to a build that is no worse than the others with a probability of at most {@link #FALSE_ALARM_PROBABILITY}
 * over its whole rollout, however often it is evaluated. This bound is exact for failed, unanswered and wrong attempts;
 * for latencies and for regressions of the whole fleet it holds as far as the model does.
 *
 * <p>Not thread-safe.
 */
public final class RegressionAttributor {
    /**
     * The maximum probability that a comparison attributes a regression to a build that is no worse than the others.
     */
    public static final double FALSE_ALARM_PROBABILITY = 0.002;

    /** E-value from which a canary is suspected, and no build is promoted. */
    private static final double SUSPICION_E_VALUE = 20;

    private static final int MAX_CANARIES = 8;
    /** How long a regression of the whole fleet stays open before a canary is set aside. */
    private static final long SET_ASIDE_AFTER_SECONDS = 18;

    /** How long after its rollout started a regression may still be attributed to a canary that was set aside. */
    private static final long SET_ASIDE_RETENTION_SECONDS = 180;

    private static final int NO_BUILD = -1;
    private static final long NOT_OPEN = -1;

    private final int routeCount;
    private final ReportAggregator reports;
    private final RecentTraffic traffic = new RecentTraffic();
    private final LoadClassifier loadClassifier = new LoadClassifier();
    private final FleetWideRegressionDetector fleet = new FleetWideRegressionDetector();
    private final Map<Integer, CanaryComparison> canaries = new TreeMap<>();
    /** Builds that were set aside: no longer canaries, but still possible causes. */
    private final Map<Integer, CanaryComparison> setAsideCanaries = new TreeMap<>();
    /** Builds that are neither canaries nor references: rolled back, or beyond the limit on canaries. */
    private final Set<Integer> excludedBuilds = new HashSet<>();

    private long fleetRegressionSinceSecond = NOT_OPEN;
    private List<AttributionFinding> findings = List.of();

    /**
     * Creates an attributor without rollouts and reports.
     *
     * @param routeCount number of routes in the settings
     * @param maxReportDelaySeconds how late a report may arrive before its second is evaluated without it
     */
    public RegressionAttributor(int routeCount, long maxReportDelaySeconds) {
        this.routeCount = routeCount;
        this.reports = new ReportAggregator(maxReportDelaySeconds);
    }

    /**
     * Starts comparing a build whose rollout starts; ignores the build if the maximum number of canaries is reached.
     */
    public void rolloutStarted(int build, long nowSecond) {
        if (canaries.size() >= MAX_CANARIES) {
            excludedBuilds.add(build);
            return;
        }
        excludedBuilds.remove(build);
        canaries.computeIfAbsent(build, unused -> new CanaryComparison(build, nowSecond, routeCount));
    }

    /**
     * Stops comparing a build whose rollout has ended.
     *
     * @param released whether the build now serves all requests and becomes a reference build; otherwise it was rolled
     *     back
     */
    public void rolloutEnded(int build, boolean released) {
        if (canaries.remove(build) != null && !released) {
            excludedBuilds.add(build);
        }
    }

    /**
     * Records that a build was rolled back to see whether a regression ends with it; the regression may still be
     * attributed to it.
     */
    public void rolloutSetAside(int build) {
        CanaryComparison canary = canaries.remove(build);
        if (canary != null) {
            excludedBuilds.add(build);
            setAsideCanaries.put(build, canary);
        }
    }

    /**
     * Adds a node's report.
     *
     * @return whether the report counts; false if it is late, from the future, a duplicate or beyond the limits
     */
    public boolean addReport(NodeReport report, long nowSecond) {
        return reports.add(report, nowSecond);
    }

    /** Returns the numbers of reports and cells discarded so far. */
    public DiscardCounts discarded() {
        return reports.discarded();
    }

    /**
     * Evaluates the seconds for which the maximum delay of reports has passed.
     *
     * @return the current finding for each canary, and for each build that was set aside before a regression was
     *     attributed to it
     */
    public List<AttributionFinding> evaluate(long nowSecond) {
        List<ReportedSecond> closed = reports.closeSeconds(nowSecond);
        if (!closed.isEmpty()) {
            closed.forEach(this::addSecond);
            findings = createFindings(nowSecond);
        }
        return findings;
    }

    private boolean isReference(int build) {
        return !canaries.containsKey(build) && !excludedBuilds.contains(build);
    }

    private void addSecond(ReportedSecond second) {
        traffic.addSecond(second);
        Map<Integer, Integer> attemptsByBuild = new HashMap<>();
        second.cellsByNode()
                .values()
                .forEach(cells ->
                        cells.forEach(cell -> attemptsByBuild.merge(cell.build(), cell.tries(), Integer::sum)));
        int attempts = attemptsByBuild.values().stream().mapToInt(v -> v).sum();
        LoadClassifier.Level load = loadClassifier.addSecond(attempts);
        for (CanaryComparison canary : canaries.values()) {
            boolean otherCanariesHaveTraffic = canaries.keySet().stream()
                    .anyMatch(build -> build != canary.build() && attemptsByBuild.containsKey(build));
            canary.addSecond(second, this::isReference, traffic, otherCanariesHaveTraffic, load);
        }
        fleet.addSecond(second, this::isReference, traffic);
    }

    private List<AttributionFinding> createFindings(long nowSecond) {
        setAsideCanaries
                .values()
                .removeIf(canary -> canary.hasAttributedRegression()
                        || nowSecond - canary.startedAtSecond() > SET_ASIDE_RETENTION_SECONDS);
        Map<Integer, CanaryComparison> suspects = new TreeMap<>(setAsideCanaries);
        suspects.putAll(canaries);
        Assessment assessment = assess(suspects, nowSecond);
        List<AttributionFinding> created = new ArrayList<>();
        for (CanaryComparison suspect : suspects.values()) {
            if (canaries.containsKey(suspect.build()) || suspect.hasAttributedRegression()) {
                created.add(FindingFactory.create(suspect, assessment));
            }
        }
        return List.copyOf(created);
    }

    private Assessment assess(Map<Integer, CanaryComparison> suspects, long nowSecond) {
        List<Integer> builds = List.copyOf(suspects.keySet());
        ExplanationRanking latencyRanking = fleet.explain(FleetMeasure.LATENCY, builds);
        ExplanationRanking badAttemptRanking = fleet.explain(FleetMeasure.BAD_ATTEMPTS, builds);
        Map<Integer, LogEvidence> evidenceByBuild = new TreeMap<>();
        suspects.values().forEach(suspect -> evidenceByBuild.put(suspect.build(), suspect.evidence()));
        attributeByComparison(suspects.values(), evidenceByBuild);
        boolean isAnySuspected =
                evidenceByBuild.values().stream().anyMatch(evidence -> evidence.total() >= Math.log(SUSPICION_E_VALUE));
        // retries caused by a failing build slow down all other builds, so evidence from comparisons takes precedence
        if (!isAnySuspected && !isAnyRegressionAttributed(suspects)) {
            attributeFleetRegression(suspects, latencyRanking);
            attributeFleetRegression(suspects, badAttemptRanking);
        }
        boolean isAnyRegressionAttributed = isAnyRegressionAttributed(suspects);
        boolean isFleetRegressionOpen =
                !isAnyRegressionAttributed && (latencyRanking.isRegression() || badAttemptRanking.isRegression());
        int buildToSetAside = shouldSetAside(isFleetRegressionOpen, nowSecond) ? newest(canaries.values()) : NO_BUILD;
        return new Assessment(
                evidenceByBuild,
                latencyRanking,
                badAttemptRanking,
                isAnyRegressionAttributed || isFleetRegressionOpen || isAnySuspected,
                isFleetRegressionOpen,
                buildToSetAside,
                nowSecond);
    }

    private static void attributeByComparison(
            Collection<CanaryComparison> suspects, Map<Integer, LogEvidence> evidenceByBuild) {
        for (CanaryComparison suspect : suspects) {
            LogEvidence evidence = evidenceByBuild.get(suspect.build());
            if (evidence != null
                    && !suspect.hasAttributedRegression()
                    && evidence.total() >= -Math.log(FALSE_ALARM_PROBABILITY)) {
                suspect.attributeRegression(evidence.strongestKind());
            }
        }
    }

    /**
     * Attributes a regression of the whole fleet to the most recently started of the builds that cause it. Of two
     * builds that are bad only together it is the cause, since there was no regression before it started.
     */
    private static void attributeFleetRegression(Map<Integer, CanaryComparison> suspects, ExplanationRanking ranking) {
        List<CanaryComparison> causes = suspects.values().stream()
                .filter(suspect -> ranking.attributedBuilds().contains(suspect.build()))
                .toList();
        CanaryComparison newest = suspects.get(newest(causes));
        if (newest != null && !newest.hasAttributedRegression()) {
            newest.attributeRegression(Kind.HARMS_ALL);
        }
    }

    private static boolean isAnyRegressionAttributed(Map<Integer, CanaryComparison> suspects) {
        return suspects.values().stream().anyMatch(CanaryComparison::hasAttributedRegression);
    }

    /**
     * Returns the build whose rollout started last, the one with the highest number if several did; {@link #NO_BUILD}
     * if there are no rollouts.
     */
    private static int newest(Collection<CanaryComparison> rollouts) {
        return rollouts.stream()
                .max(Comparator.comparingLong(CanaryComparison::startedAtSecond)
                        .thenComparingInt(CanaryComparison::build))
                .map(CanaryComparison::build)
                .orElse(NO_BUILD);
    }

    /**
     * Returns whether a canary should be set aside because a regression of the whole fleet has been open for long
     * enough while there are several canaries. After that the time is measured from zero again.
     */
    private boolean shouldSetAside(boolean isFleetRegressionOpen, long nowSecond) {
        if (!isFleetRegressionOpen) {
            fleetRegressionSinceSecond = NOT_OPEN;
            return false;
        }
        if (fleetRegressionSinceSecond == NOT_OPEN) {
            fleetRegressionSinceSecond = nowSecond;
        }
        boolean isOverdue = nowSecond - fleetRegressionSinceSecond >= SET_ASIDE_AFTER_SECONDS && canaries.size() > 1;
        if (isOverdue) {
            fleetRegressionSinceSecond = nowSecond;
        }
        return isOverdue;
    }
}
