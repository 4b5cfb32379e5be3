package laurelkeel.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import laurelkeel.attribution.NodeReport;
import org.jspecify.annotations.Nullable;

/**
 * The traffic of a generated day, second by second: generates requests with their outcomes, and a report of each node
 * to the rollout service, which may be delayed, lost or duplicated. Not thread-safe.
 */
final class GeneratedTraffic {
    private static final List<Double> SHARE_BY_ROUTE = List.of(0.5, 0.3, 0.2);
    private static final List<Double> MEDIAN_LATENCY_MILLIS_BY_ROUTE = List.of(8.0, 20.0, 45.0);

    static final int ROUTES = SHARE_BY_ROUTE.size();
    private static final double MEAN_REQUESTS_PER_NODE_SECOND = 60;
    private static final double LATENCY_DEVIATION = 0.4;
    private static final double FAILURE_PROBABILITY = 0.002;
    private static final double FAILING_TENANT_FAILURE_PROBABILITY = 0.3;
    private static final double COMPLAINT_PROBABILITY = 0.3;
    private static final double MIN_BUSY_LOAD = 1.02;
    /** A failed request counts as harmed by the release only if its probability to fail was above this. */
    private static final double HARMFUL_FAILURE_PROBABILITY = 0.01;

    private static final double HARMFUL_SLOWDOWN = 0.3;
    private static final int LATE_FAULT_DELAY_SECONDS = 15;
    private static final String INCARNATION = "x";

    private final GeneratedDay day;
    private final DayRandom random;
    private final TreeMap<Long, List<NodeReport>> reportsByArrival = new TreeMap<>();
    private double drift;
    private int transientSlowdownUntil = -1;
    private double transientSlowdown;
    private long harmedRequests;

    GeneratedTraffic(GeneratedDay day, DayRandom random) {
        this.day = day;
        this.random = random;
    }

    /** Returns the number of requests that the bad release has harmed so far. */
    long harmedRequests() {
        return harmedRequests;
    }

    /** Records the promotion of a release, which may cause a temporary slowdown of all builds. */
    void promoted(long now) {
        if (day.hasSlowdownsAfterPromotions() && random.nextOneIn(3)) {
            startTransientSlowdown(now, 0.4, 0.6);
        }
    }

    private void startTransientSlowdown(long now, double minimum, double range) {
        transientSlowdownUntil = (int) now + 2 + random.nextInt(7);
        transientSlowdown = minimum + range * random.nextDouble();
    }

    /** Removes and returns the reports that have arrived by now. */
    List<NodeReport> arrivedReports(long now) {
        List<NodeReport> arrived = new ArrayList<>();
        while (!reportsByArrival.isEmpty() && reportsByArrival.firstKey() <= now) {
            arrived.addAll(reportsByArrival.pollFirstEntry().getValue());
        }
        return arrived;
    }

    /** Generates the requests and the reports of one second. */
    void generateSecond(long now) {
        drift = 0.7 * drift + random.nextNormal() * 0.03;
        if (now > transientSlowdownUntil && random.nextOneIn(60)) {
            startTransientSlowdown(now, 0.3, 0.7);
        }
        double load = 1 + 0.2 * Math.sin(now / 9.0) + (day.isBurst(now) ? 0.6 : 0);
        double slowdown =
                drift + (now <= transientSlowdownUntil ? transientSlowdown : 0) + Math.max(0, load - 1.2) * 0.5;
        Conditions conditions = new Conditions(now, load, slowdown);
        for (int node = 0; node < GeneratedDay.NODES; node++) {
            generateNodeTraffic(node, conditions);
        }
    }

    /**
     * The conditions that apply to all requests of one second.
     *
     * @param load factor on the average rate of requests
     * @param slowdown added to the logarithms of all latencies
     */
    private record Conditions(long now, double load, double slowdown) {}

    private void generateNodeTraffic(int node, Conditions conditions) {
        Map<String, CellCounts> cells = new HashMap<>();
        int requests = random.nextPoisson(MEAN_REQUESTS_PER_NODE_SECOND * conditions.load);
        for (int i = 0; i < requests; i++) {
            generateRequest(conditions, cells);
        }
        if (random.nextOneIn(20)) {
            // the report is lost
            return;
        }
        List<NodeReport.Cell> reported = new ArrayList<>();
        for (CellCounts counts : cells.values()) {
            reported.add(counts.toCell(day.reportsFalseFailures(node, counts.build)));
        }
        long now = conditions.now;
        NodeReport report = new NodeReport(node, INCARNATION, now, reported);
        sendReport(report, now + random.nextInt(3));
        if (random.nextOneIn(30)) {
            sendReport(report, now + 1 + random.nextInt(4));
        }
    }

    private void sendReport(NodeReport report, long arrivesAt) {
        reportsByArrival.computeIfAbsent(arrivesAt, key -> new ArrayList<>()).add(report);
    }

    /** The latency and the possible outcomes of one request, including the effects of the day's faults. */
    private static final class RequestEffects {
        double logMillis;
        double failureProbability;
        boolean hasWrongContent;
        boolean isHarmedIndirectly;

        RequestEffects(double logMillis, double failureProbability) {
            this.logMillis = logMillis;
            this.failureProbability = failureProbability;
        }
    }

    /**
     * The endpoint that a request is sent to.
     *
     * @param release the release whose build the endpoint runs; null for the baseline build
     * @param latencyOffset the endpoint's offset, added to the logarithm of the latency
     */
    private record Destination(@Nullable GeneratedRelease release, String endpoint, double latencyOffset) {
        int build() {
            return release == null ? GeneratedDay.BASELINE_BUILD : release.build();
        }
    }

    private void generateRequest(Conditions conditions, Map<String, CellCounts> cells) {
        int tenant = random.nextInt(GeneratedDay.TENANTS);
        GeneratedRelease release = randomRelease(conditions.now);
        int route = randomRoute();
        Destination destination = randomDestination(release);
        RequestEffects effects = randomEffects(conditions, tenant, route, destination);
        boolean unanswered = day.isUnresponsive(destination.endpoint, conditions.now);
        boolean failed = !unanswered && random.nextDouble() < effects.failureProbability;
        boolean complained =
                effects.hasWrongContent && !unanswered && !failed && random.nextDouble() < COMPLAINT_PROBABILITY;
        boolean isBad = day.isBad(destination.build());
        if ((isBad && isHarmful(effects, failed, conditions)) || effects.isHarmedIndirectly) {
            harmedRequests++;
        }
        // these keys determine the order of the cells in a report, and so the results of earlier versions for the same
        // seed
        String key = destination.build() + "/" + route + "/" + destination.endpoint + "/" + tenant;
        cells.computeIfAbsent(key, absent -> new CellCounts(destination.build(), route, destination.endpoint, tenant))
                .add(unanswered, failed, complained, effects.logMillis);
        countOutcome(release, conditions.now, failed || unanswered || complained);
    }

    private Destination randomDestination(@Nullable GeneratedRelease release) {
        if (release == null) {
            int number = random.nextInt(GeneratedDay.BASELINE_ENDPOINTS);
            return new Destination(null, GeneratedDay.baselineEndpoint(number), day.baselineOffset(number));
        }
        int number = random.nextInt(release.endpoints());
        return new Destination(release, GeneratedDay.releaseEndpoint(release, number), release.endpointOffset(number));
    }

    private RequestEffects randomEffects(Conditions conditions, int tenant, int route, Destination destination) {
        double logMillis = Math.log(MEDIAN_LATENCY_MILLIS_BY_ROUTE.get(route))
                + conditions.slowdown
                + LATENCY_DEVIATION * random.nextNormal()
                + destination.latencyOffset;
        double failureProbability =
                FAILURE_PROBABILITY + (day.isFailingTenant(tenant) ? FAILING_TENANT_FAILURE_PROBABILITY : 0);
        RequestEffects effects = new RequestEffects(logMillis, failureProbability);
        GeneratedRelease release = destination.release;
        if (release != null && day.isBad(release.build())) {
            applyFault(effects, release, route, conditions);
        }
        if (day.fault() == ReleaseFault.HARMS_ALL) {
            double logSlowdown = day.badShare(conditions.now) * day.scaledBySeverity(4, 8);
            effects.logMillis += logSlowdown;
            effects.isHarmedIndirectly = logSlowdown > HARMFUL_SLOWDOWN;
        }
        return effects;
    }

    private @Nullable GeneratedRelease randomRelease(long now) {
        double sample = random.nextDouble();
        GeneratedRelease chosen = null;
        for (GeneratedRelease release : day.releases()) {
            double share = release.share(now);
            if (sample >= 0 && sample < share) {
                chosen = release;
            }
            sample -= share;
        }
        return chosen;
    }

    private int randomRoute() {
        if (random.nextDouble() < SHARE_BY_ROUTE.get(0)) {
            return 0;
        }
        return random.nextDouble() < SHARE_BY_ROUTE.get(1) / (1 - SHARE_BY_ROUTE.get(0)) ? 1 : 2;
    }

    /** Applies the day's fault to a request that the bad release serves. */
    private void applyFault(RequestEffects effects, GeneratedRelease release, int route, Conditions conditions) {
        switch (day.fault()) {
            case FAILS -> effects.failureProbability += day.scaledBySeverity(0.03, 0.3);
            case FAILS_ONE_ROUTE -> effects.failureProbability += route == 1 ? day.scaledBySeverity(0.1, 0.6) : 0;
            case LATE -> {
                boolean hasStarted = conditions.now >= release.startsAt() + LATE_FAULT_DELAY_SECONDS;
                effects.failureProbability += hasStarted ? day.scaledBySeverity(0.05, 0.3) : 0;
            }
            case TOGETHER ->
                effects.failureProbability += day.hasGoodCanary(conditions.now) ? day.scaledBySeverity(0.05, 0.3) : 0;
            case SLOW -> effects.logMillis += Math.log(day.scaledBySeverity(2, 4));
            case SLOW_WHEN_BUSY ->
                effects.logMillis += conditions.load > MIN_BUSY_LOAD ? Math.log(day.scaledBySeverity(2.2, 4)) : 0;
            case WRONG -> effects.hasWrongContent = random.nextDouble() < day.scaledBySeverity(0.15, 0.5);
            case HARMS_ALL, NONE -> {}
        }
    }

    private boolean isHarmful(RequestEffects effects, boolean failed, Conditions conditions) {
        boolean isSlow = day.fault() == ReleaseFault.SLOW
                || (day.fault() == ReleaseFault.SLOW_WHEN_BUSY && conditions.load > MIN_BUSY_LOAD);
        return (failed && effects.failureProbability > HARMFUL_FAILURE_PROBABILITY)
                || effects.hasWrongContent
                || isSlow;
    }

    private void countOutcome(@Nullable GeneratedRelease servedBy, long now, boolean isBad) {
        for (GeneratedRelease release : day.releases()) {
            if (servedBy == release) {
                release.ownOutcomes().add(isBad);
            } else if (release.share(now) > 0) {
                release.otherOutcomes().add(isBad);
            }
        }
    }

    /** One node's counts for one endpoint, route and tenant in one second. */
    private static final class CellCounts {
        private static final int FALSE_FAILURE_FACTOR = 10;

        private final int build;
        private final int route;
        private final String endpoint;
        private final int tenant;
        private int attempts;
        private int failed;
        private int unanswered;
        private int complained;
        private int completed;
        private double logMillisSum;
        private double logMillisSquareSum;

        CellCounts(int build, int route, String endpoint, int tenant) {
            this.build = build;
            this.route = route;
            this.endpoint = endpoint;
            this.tenant = tenant;
        }

        void add(boolean isUnanswered, boolean isFailed, boolean isComplained, double logMillis) {
            attempts++;
            failed += isFailed ? 1 : 0;
            unanswered += isUnanswered ? 1 : 0;
            complained += isComplained ? 1 : 0;
            if (!isUnanswered && !isFailed) {
                completed++;
                logMillisSum += logMillis;
                logMillisSquareSum += logMillis * logMillis;
            }
        }

        NodeReport.Cell toCell(boolean reportsFalseFailures) {
            int reportedFailed = reportsFalseFailures
                    ? Math.min(attempts - unanswered, Math.max(1, failed * FALSE_FAILURE_FACTOR))
                    : failed;
            return new NodeReport.Cell(
                    build,
                    route,
                    endpoint,
                    tenant,
                    attempts,
                    reportedFailed,
                    unanswered,
                    complained,
                    completed,
                    logMillisSum,
                    logMillisSquareSum);
        }
    }
}
