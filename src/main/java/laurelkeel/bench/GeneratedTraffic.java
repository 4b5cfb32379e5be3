package laurelkeel.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import laurelkeel.attribution.NodeReport;
import org.jspecify.annotations.Nullable;

/**
 * The traffic of a generated day, second by second: requests are drawn and answered, and what each node counted is on its
 * way to the rollout service as a report, which may be late, lost or doubled. Not thread-safe.
 */
final class GeneratedTraffic {
    private static final List<Double> ROUTE_SHARES = List.of(0.5, 0.3, 0.2);
    /** The median latency of each route. */
    private static final List<Double> ROUTE_LATENCIES_MILLIS = List.of(8.0, 20.0, 45.0);

    static final int ROUTES = ROUTE_SHARES.size();
    private static final double REQUESTS_PER_NODE_AND_SECOND = 60;
    private static final double LATENCY_DEVIATION = 0.4;
    private static final double FAILING_SHARE = 0.002;
    private static final double BAD_CUSTOMER_FAILING_SHARE = 0.3;
    private static final double COMPLAINT_SHARE = 0.3;
    private static final double BUSY_LOAD = 1.02;
    /** A request that fails with a lower probability than this is not harmed by the release. */
    private static final double HARMFUL_FAILING_SHARE = 0.01;

    private static final double HARMFUL_SLOWDOWN = 0.3;
    private static final int LATE_FAULT_SECONDS = 15;
    private static final String INCARNATION = "x";

    private final GeneratedDay day;
    private final DayRandom random;
    private final TreeMap<Long, List<NodeReport>> reportsByArrival = new TreeMap<>();
    private double drift;
    private int spellUntil = -1;
    private double spell;
    private long harmedRequests;

    GeneratedTraffic(GeneratedDay day, DayRandom random) {
        this.day = day;
        this.random = random;
    }

    /** Requests that the bad release harmed so far. */
    long harmedRequests() {
        return harmedRequests;
    }

    /** A release was promoted, which may cause a slow spell of all builds. */
    void promoted(long now) {
        if (day.slowsAtPromotions() && random.nextOneIn(3)) {
            startSpell(now, 0.4, 0.6);
        }
    }

    private void startSpell(long now, double minimum, double spread) {
        spellUntil = (int) now + 2 + random.nextInt(7);
        spell = minimum + spread * random.nextDouble();
    }

    /** Removes and returns the reports that arrive by now. */
    List<NodeReport> arrivedReports(long now) {
        List<NodeReport> arrived = new ArrayList<>();
        while (!reportsByArrival.isEmpty() && reportsByArrival.firstKey() <= now) {
            arrived.addAll(reportsByArrival.pollFirstEntry().getValue());
        }
        return arrived;
    }

    /** Plays one second. */
    void play(long now) {
        drift = 0.7 * drift + random.nextNormal() * 0.03;
        if (now > spellUntil && random.nextOneIn(60)) {
            startSpell(now, 0.3, 0.7);
        }
        double load = 1 + 0.2 * Math.sin(now / 9.0) + (day.isBurst(now) ? 0.6 : 0);
        double slowdown = drift + (now <= spellUntil ? spell : 0) + Math.max(0, load - 1.2) * 0.5;
        Conditions conditions = new Conditions(now, load, slowdown);
        for (int node = 0; node < GeneratedDay.NODES; node++) {
            playNode(node, conditions);
        }
    }

    /**
     * What all requests of one second share.
     *
     * @param load beside the usual one
     * @param slowdown added to the logarithm of all latencies
     */
    private record Conditions(long now, double load, double slowdown) {}

    private void playNode(int node, Conditions conditions) {
        Map<String, CellCounts> cells = new HashMap<>();
        int requests = random.nextPoisson(REQUESTS_PER_NODE_AND_SECOND * conditions.load);
        for (int i = 0; i < requests; i++) {
            playRequest(conditions, cells);
        }
        if (random.nextOneIn(20)) {
            // the report is lost
            return;
        }
        List<NodeReport.Cell> reported = new ArrayList<>();
        for (CellCounts counts : cells.values()) {
            reported.add(counts.toCell(day.isLie(node, counts.build)));
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

    /** One request and what the day's faults do to it. */
    private static final class RequestEffects {
        double logMillis;
        double failingShare;
        boolean isWrong;
        boolean isHarmedByOthers;

        RequestEffects(double logMillis, double failingShare) {
            this.logMillis = logMillis;
            this.failingShare = failingShare;
        }
    }

    /**
     * Where a request goes.
     *
     * @param release null for the baseline build
     * @param latencyOffset of the endpoint, added to the logarithm of the latency
     */
    private record Destination(@Nullable GeneratedRelease release, String endpoint, double latencyOffset) {
        int build() {
            return release == null ? GeneratedDay.BASELINE_BUILD : release.build();
        }
    }

    private void playRequest(Conditions conditions, Map<String, CellCounts> cells) {
        int customer = random.nextInt(GeneratedDay.CUSTOMERS);
        GeneratedRelease release = drawRelease(conditions.now);
        int route = drawRoute();
        Destination destination = drawDestination(release);
        RequestEffects effects = drawEffects(conditions, customer, route, destination);
        boolean silent = day.isDead(destination.endpoint, conditions.now);
        boolean failed = !silent && random.nextDouble() < effects.failingShare;
        boolean complained = effects.isWrong && !silent && !failed && random.nextDouble() < COMPLAINT_SHARE;
        boolean isBad = day.isBad(destination.build());
        if ((isBad && isHarmful(effects, failed, conditions)) || effects.isHarmedByOthers) {
            harmedRequests++;
        }
        // the order of the cells in a report follows from these keys, and is a part of the recorded days
        String key = destination.build() + "/" + route + "/" + destination.endpoint + "/" + customer;
        cells.computeIfAbsent(key, absent -> new CellCounts(destination.build(), route, destination.endpoint, customer))
                .add(silent, failed, complained, effects.logMillis);
        countHit(release, conditions.now, failed || silent || complained);
    }

    private Destination drawDestination(@Nullable GeneratedRelease release) {
        if (release == null) {
            int number = random.nextInt(GeneratedDay.BASELINE_ENDPOINTS);
            return new Destination(null, GeneratedDay.baselineEndpoint(number), day.baselineOffset(number));
        }
        int number = random.nextInt(release.endpoints());
        return new Destination(release, GeneratedDay.releaseEndpoint(release, number), release.endpointOffset(number));
    }

    private RequestEffects drawEffects(Conditions conditions, int customer, int route, Destination destination) {
        double logMillis = Math.log(ROUTE_LATENCIES_MILLIS.get(route))
                + conditions.slowdown
                + LATENCY_DEVIATION * random.nextNormal()
                + destination.latencyOffset;
        double failingShare = FAILING_SHARE + (day.isBadCustomer(customer) ? BAD_CUSTOMER_FAILING_SHARE : 0);
        RequestEffects effects = new RequestEffects(logMillis, failingShare);
        GeneratedRelease release = destination.release;
        if (release != null && day.isBad(release.build())) {
            applyFault(effects, release, route, conditions);
        }
        if (day.fault() == ReleaseFault.HARMS_ALL) {
            double harm = day.badShare(conditions.now) * day.bySeverity(4, 8);
            effects.logMillis += harm;
            effects.isHarmedByOthers = harm > HARMFUL_SLOWDOWN;
        }
        return effects;
    }

    private @Nullable GeneratedRelease drawRelease(long now) {
        double drawn = random.nextDouble();
        GeneratedRelease chosen = null;
        for (GeneratedRelease release : day.releases()) {
            double share = release.share(now);
            if (drawn >= 0 && drawn < share) {
                chosen = release;
            }
            drawn -= share;
        }
        return chosen;
    }

    private int drawRoute() {
        if (random.nextDouble() < ROUTE_SHARES.get(0)) {
            return 0;
        }
        return random.nextDouble() < ROUTE_SHARES.get(1) / (1 - ROUTE_SHARES.get(0)) ? 1 : 2;
    }

    /** What the fault does to a request that the bad release serves. */
    private void applyFault(RequestEffects effects, GeneratedRelease release, int route, Conditions conditions) {
        switch (day.fault()) {
            case FAILS -> effects.failingShare += day.bySeverity(0.03, 0.3);
            case FAILS_ONE_ROUTE -> effects.failingShare += route == 1 ? day.bySeverity(0.1, 0.6) : 0;
            case LATE -> {
                boolean begun = conditions.now >= release.startsAt() + LATE_FAULT_SECONDS;
                effects.failingShare += begun ? day.bySeverity(0.05, 0.3) : 0;
            }
            case TOGETHER -> effects.failingShare += day.hasGoodTrial(conditions.now) ? day.bySeverity(0.05, 0.3) : 0;
            case SLOW -> effects.logMillis += Math.log(day.bySeverity(2, 4));
            case SLOW_WHEN_BUSY ->
                effects.logMillis += conditions.load > BUSY_LOAD ? Math.log(day.bySeverity(2.2, 4)) : 0;
            case WRONG -> effects.isWrong = random.nextDouble() < day.bySeverity(0.15, 0.5);
            case HARMS_ALL, NONE -> {}
        }
    }

    private boolean isHarmful(RequestEffects effects, boolean failed, Conditions conditions) {
        boolean isSlow = day.fault() == ReleaseFault.SLOW
                || (day.fault() == ReleaseFault.SLOW_WHEN_BUSY && conditions.load > BUSY_LOAD);
        return (failed && effects.failingShare > HARMFUL_FAILING_SHARE) || effects.isWrong || isSlow;
    }

    private void countHit(@Nullable GeneratedRelease servedBy, long now, boolean hit) {
        for (GeneratedRelease release : day.releases()) {
            if (servedBy == release) {
                release.ownHits().add(hit);
            } else if (release.share(now) > 0) {
                release.otherHits().add(hit);
            }
        }
    }

    /** What one node counted in one second of one endpoint, route and customer. */
    private static final class CellCounts {
        private static final int LIE_FACTOR = 10;

        private final int build;
        private final int route;
        private final String endpoint;
        private final int customer;
        private int attempts;
        private int failed;
        private int silent;
        private int complained;
        private int completed;
        private double logMillisSum;
        private double logMillisSquareSum;

        CellCounts(int build, int route, String endpoint, int customer) {
            this.build = build;
            this.route = route;
            this.endpoint = endpoint;
            this.customer = customer;
        }

        void add(boolean isSilent, boolean isFailed, boolean isComplained, double logMillis) {
            attempts++;
            failed += isFailed ? 1 : 0;
            silent += isSilent ? 1 : 0;
            complained += isComplained ? 1 : 0;
            if (!isSilent && !isFailed) {
                completed++;
                logMillisSum += logMillis;
                logMillisSquareSum += logMillis * logMillis;
            }
        }

        NodeReport.Cell toCell(boolean isLie) {
            int reportedFailed = isLie ? Math.min(attempts - silent, Math.max(1, failed * LIE_FACTOR)) : failed;
            return new NodeReport.Cell(
                    build,
                    route,
                    endpoint,
                    customer,
                    attempts,
                    reportedFailed,
                    silent,
                    complained,
                    completed,
                    logMillisSum,
                    logMillisSquareSum);
        }
    }
}
