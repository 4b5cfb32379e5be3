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
 * Attributes a regression to one of several concurrent rollouts, by the reports of all nodes.
 *
 * <p>It is notified of rollouts that start and end, takes reports and is evaluated once a second. A build that is no worse than
 * the others is found guilty with a probability of at most {@link #FALSE_ALARM_PROBABILITY} over its whole rollout,
 * however often this is evaluated: exactly so for failed, unanswered and wrong attempts, and as far as the model holds
 * for latencies and for regressions of the whole fleet.
 *
 * <p>Not thread-safe.
 */
public final class RegressionAttributor {
    /** The greatest probability with which a comparison finds a build guilty that is no worse. */
    public static final double FALSE_ALARM_PROBABILITY = 0.002;

    /** E-value from which a canary is suspected and nothing is promoted. */
    private static final double SUSPICION_E_VALUE = 20;

    private static final int MAX_CANARIES = 8;
    /** How long a regression of the whole fleet stays open before a canary is set aside. */
    private static final long SET_ASIDE_AFTER_SECONDS = 18;

    /** How long, from its start, a canary that was set aside may still be found guilty. */
    private static final long SET_ASIDE_RETENTION_SECONDS = 180;

    private static final int NO_BUILD = -1;
    private static final long NOT_OPEN = -1;

    private final int routeCount;
    private final ReportAggregator reports;
    private final RecentTraffic traffic = new RecentTraffic();
    private final LoadClassifier loadClassifier = new LoadClassifier();
    private final FleetWideRegressionDetector fleet = new FleetWideRegressionDetector();
    private final Map<Integer, CanaryComparison> canaries = new TreeMap<>();
    /** Set aside: canaries no more, yet possible causes still. */
    private final Map<Integer, CanaryComparison> setAsideCanaries = new TreeMap<>();
    /** Neither canaries nor references: rolled back, or beyond the limit. */
    private final Set<Integer> excludedBuilds = new HashSet<>();

    private long fleetRegressionSinceSecond = NOT_OPEN;
    private List<AttributionFinding> findings = List.of();

    /**
     * Starts without rollouts and reports.
     *
     * @param routeCount how many routes the settings have
     * @param maxReportDelaySeconds how late a report may come before its second is evaluated without it
     */
    public RegressionAttributor(int routeCount, long maxReportDelaySeconds) {
        this.routeCount = routeCount;
        this.reports = new ReportAggregator(maxReportDelaySeconds);
    }

    /** Starts comparing a build whose rollout starts; builds beyond a limit on their number are ignored. */
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
     * @param released whether it serves all requests now, and is a reference for others; otherwise it is rolled back
     */
    public void rolloutEnded(int build, boolean released) {
        if (canaries.remove(build) != null && !released) {
            excludedBuilds.add(build);
        }
    }

    /** Notes that a build is rolled back to show whether a regression ends with it; it may still be found guilty. */
    public void rolloutSetAside(int build) {
        CanaryComparison canary = canaries.remove(build);
        if (canary != null) {
            excludedBuilds.add(build);
            setAsideCanaries.put(build, canary);
        }
    }

    /**
     * Takes a node's report.
     *
     * @return whether it counts: false for one that is late, from the future, a duplicate or beyond the limits
     */
    public boolean addReport(NodeReport report, long nowSecond) {
        return reports.add(report, nowSecond);
    }

    /** What was not counted so far. */
    public DiscardCounts discarded() {
        return reports.discarded();
    }

    /** What is known now: a finding for each canary, and for each build that was set aside and found guilty. */
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
                .removeIf(canary ->
                        canary.isGuilty() || nowSecond - canary.startedAtSecond() > SET_ASIDE_RETENTION_SECONDS);
        Map<Integer, CanaryComparison> suspects = new TreeMap<>(setAsideCanaries);
        suspects.putAll(canaries);
        Assessment assessment = assess(suspects, nowSecond);
        List<AttributionFinding> created = new ArrayList<>();
        for (CanaryComparison suspect : suspects.values()) {
            if (canaries.containsKey(suspect.build()) || suspect.isGuilty()) {
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
        markGuiltyByComparison(suspects.values(), evidenceByBuild);
        boolean isAnySuspected =
                evidenceByBuild.values().stream().anyMatch(evidence -> evidence.total() >= Math.log(SUSPICION_E_VALUE));
        // a failing build slows all others by the retries that it causes: what a comparison shows goes first
        if (!isAnySuspected && !isAnyGuilty(suspects)) {
            markGuiltyByFleet(suspects, latencyRanking);
            markGuiltyByFleet(suspects, badAttemptRanking);
        }
        boolean isAnyGuilty = isAnyGuilty(suspects);
        boolean isFleetRegressionOpen =
                !isAnyGuilty && (latencyRanking.isRegression() || badAttemptRanking.isRegression());
        int buildToSetAside = shouldSetAside(isFleetRegressionOpen, nowSecond) ? newest(canaries.values()) : NO_BUILD;
        return new Assessment(
                evidenceByBuild,
                latencyRanking,
                badAttemptRanking,
                isAnyGuilty || isFleetRegressionOpen || isAnySuspected,
                isFleetRegressionOpen,
                buildToSetAside,
                nowSecond);
    }

    private static void markGuiltyByComparison(
            Collection<CanaryComparison> suspects, Map<Integer, LogEvidence> evidenceByBuild) {
        for (CanaryComparison suspect : suspects) {
            LogEvidence evidence = evidenceByBuild.get(suspect.build());
            if (evidence != null && !suspect.isGuilty() && evidence.total() >= -Math.log(FALSE_ALARM_PROBABILITY)) {
                suspect.markGuilty(evidence.strongestKind());
            }
        }
    }

    /** Of two builds that are bad only together, the one that started later is guilty: before it there was no regression. */
    private static void markGuiltyByFleet(Map<Integer, CanaryComparison> suspects, ExplanationRanking ranking) {
        List<CanaryComparison> guilty = suspects.values().stream()
                .filter(suspect -> ranking.guiltyBuilds().contains(suspect.build()))
                .toList();
        CanaryComparison newest = suspects.get(newest(guilty));
        if (newest != null && !newest.isGuilty()) {
            newest.markGuilty(Kind.HARMS_ALL);
        }
    }

    private static boolean isAnyGuilty(Map<Integer, CanaryComparison> suspects) {
        return suspects.values().stream().anyMatch(CanaryComparison::isGuilty);
    }

    /** The build whose rollout started last, of several the latest build; {@link #NO_BUILD} for none. */
    private static int newest(Collection<CanaryComparison> rollouts) {
        return rollouts.stream()
                .max(Comparator.comparingLong(CanaryComparison::startedAtSecond)
                        .thenComparingInt(CanaryComparison::build))
                .map(CanaryComparison::build)
                .orElse(NO_BUILD);
    }

    /** Whether a regression of the whole fleet has been open for long; the time is measured anew after each time. */
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
