package laurelkeel.attribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import laurelkeel.attribution.AttributionFinding.Verdict;
import laurelkeel.attribution.NodeReport.Cell;
import org.junit.jupiter.api.Test;

/** Tests attribution with generated reports for each kind of regression. */
class RegressionAttributorTest {
    private static final int REFERENCE_BUILD = 1;
    private static final int REFERENCE_ENDPOINTS = 8;
    private static final int NODES = 4;
    private static final int REQUESTS_PER_NODE = 60;
    private static final String INCARNATION = "x";

    /** How one attempt ended: with an error, without an answer, or after a latency, which is given as its logarithm. */
    private record Outcome(boolean failed, boolean unanswered, double logLatency) {
        static final Outcome ERROR = new Outcome(true, false, 0);
        static final Outcome NO_ANSWER = new Outcome(false, true, 0);

        static Outcome completed(double logLatency) {
            return new Outcome(false, false, logLatency);
        }
    }

    /** Decides how an attempt ends. */
    private interface Behaviour {
        Outcome outcome(int build, String endpointId);
    }

    /** The target of an attempt. */
    private record Destination(int build, int route, String endpointId) {}

    /** The sums of one cell. */
    private static final class Sums {
        private int attempts;
        private int failed;
        private int unanswered;
        private int completed;
        private double logLatency;
        private double logLatencySquare;

        void add(Outcome outcome) {
            attempts++;
            failed += outcome.failed() && !outcome.unanswered() ? 1 : 0;
            unanswered += outcome.unanswered() ? 1 : 0;
            if (!outcome.failed() && !outcome.unanswered()) {
                completed++;
                logLatency += outcome.logLatency();
                logLatencySquare += outcome.logLatency() * outcome.logLatency();
            }
        }

        Cell toCell(Destination to) {
            return new Cell(
                    to.build(),
                    to.route(),
                    to.endpointId(),
                    -1,
                    attempts,
                    failed,
                    unanswered,
                    0,
                    completed,
                    logLatency,
                    logLatencySquare);
        }
    }

    private final Random random = new Random(4);
    private final RegressionAttributor attributor = new RegressionAttributor(2, 2);
    private long nowSecond;
    private List<AttributionFinding> findings = List.of();

    /** Runs seconds in which each node sends 60 requests, on average a tenth of them to each canary. */
    private void run(int seconds, List<Integer> canaries, int canaryEndpoints, Behaviour behaviour) {
        for (int i = 0; i < seconds; i++, nowSecond++) {
            for (int node = 0; node < NODES; node++) {
                List<Cell> cells = cells(canaries, canaryEndpoints, behaviour);
                attributor.addReport(new NodeReport(node, INCARNATION, nowSecond, cells), nowSecond);
            }
            findings = attributor.evaluate(nowSecond);
        }
    }

    private List<Cell> cells(List<Integer> canaries, int canaryEndpoints, Behaviour behaviour) {
        Map<Destination, Sums> sums = new HashMap<>();
        for (int i = 0; i < REQUESTS_PER_NODE; i++) {
            int tenth = random.nextInt(10);
            int build = tenth < canaries.size() ? canaries.get(tenth) : REFERENCE_BUILD;
            int endpoints = build == REFERENCE_BUILD ? REFERENCE_ENDPOINTS : canaryEndpoints;
            String endpointId = build + "m" + random.nextInt(endpoints);
            Outcome outcome = behaviour.outcome(build, endpointId);
            Destination to = new Destination(build, random.nextInt(2), endpointId);
            sums.computeIfAbsent(to, unused -> new Sums()).add(outcome);
        }
        List<Cell> cells = new ArrayList<>();
        sums.forEach((to, sum) -> cells.add(sum.toCell(to)));
        return cells;
    }

    private Outcome normalOutcome() {
        boolean failed = random.nextInt(300) == 0;
        return new Outcome(failed, false, 3 + 0.4 * random.nextGaussian());
    }

    private Verdict verdictOf(int build) {
        return findings.stream()
                .filter(finding -> finding.build() == build)
                .findFirst()
                .orElseThrow()
                .verdict();
    }

    private void assertNoBuildGuilty() {
        assertFalse(findings.stream().anyMatch(finding -> finding.verdict() == Verdict.GUILTY), findings.toString());
    }

    private void startRollouts(int... builds) {
        for (int build : builds) {
            attributor.rolloutStarted(build, nowSecond);
        }
    }

    @Test
    void theFailingBuildIsGuiltyAndTheOtherIsCleared() {
        run(12, List.of(), 2, (build, endpointId) -> normalOutcome());
        startRollouts(2, 3);
        run(
                25,
                List.of(2, 3),
                3,
                (build, endpointId) -> build == 3 && random.nextInt(6) == 0 ? Outcome.ERROR : normalOutcome());
        assertEquals(Verdict.GUILTY, verdictOf(3));
        attributor.rolloutEnded(3, false);
        run(15, List.of(2), 3, (build, endpointId) -> normalOutcome());
        assertEquals(Verdict.CLEARED, verdictOf(2));
    }

    @Test
    void bothBuildsAreGuiltyIfBothFail() {
        startRollouts(2, 3);
        run(
                20,
                List.of(2, 3),
                2,
                (build, endpointId) -> build > 1 && random.nextInt(6) == 0 ? Outcome.ERROR : normalOutcome());
        assertEquals(List.of(Verdict.GUILTY, Verdict.GUILTY), List.of(verdictOf(2), verdictOf(3)));
    }

    @Test
    void aSingleBadEndpointDoesNotMakeItsBuildGuilty() {
        startRollouts(2, 3);
        run(
                30,
                List.of(2, 3),
                3,
                (build, endpointId) -> endpointId.equals("2m1") ? Outcome.NO_ANSWER : normalOutcome());
        assertNoBuildGuilty();
        run(
                30,
                List.of(2, 3),
                3,
                (build, endpointId) ->
                        endpointId.equals("2m1") && random.nextBoolean() ? Outcome.ERROR : normalOutcome());
        assertNoBuildGuilty();
        assertTrue(findings.get(0).considered().toString().contains("2m1"), findings.toString());
    }

    @Test
    void aBuildWithUnansweredAttemptsAtAllEndpointsIsGuilty() {
        startRollouts(2);
        run(
                20,
                List.of(2),
                3,
                (build, endpointId) -> build == 2 && random.nextInt(4) == 0 ? Outcome.NO_ANSWER : normalOutcome());
        assertEquals(Verdict.GUILTY, verdictOf(2));
    }

    @Test
    void aBuildIsSlowOnlyIfMostOfItsEndpointsAre() {
        startRollouts(2, 3);
        run(
                25,
                List.of(2, 3),
                3,
                (build, endpointId) -> endpointId.equals("3m0") ? Outcome.completed(4.2) : normalOutcome());
        assertNoBuildGuilty();
        run(
                30,
                List.of(2, 3),
                3,
                (build, endpointId) ->
                        build == 3 ? Outcome.completed(3.9 + 0.4 * random.nextGaussian()) : normalOutcome());
        assertEquals(Verdict.GUILTY, verdictOf(3));
        assertNotEquals(Verdict.GUILTY, verdictOf(2));
    }

    @Test
    void oneNodeWithTenfoldReportedAttemptsDoesNotMakeABuildGuilty() {
        startRollouts(2);
        for (int i = 0; i < 40; i++, nowSecond++) {
            for (int node = 0; node < 5; node++) {
                List<Cell> cells = cells(List.of(2), 2, (build, endpointId) -> normalOutcome());
                List<Cell> reported = node == 3 ? exaggerated(cells) : cells;
                attributor.addReport(new NodeReport(node, INCARNATION, nowSecond, reported), nowSecond);
            }
            findings = attributor.evaluate(nowSecond);
        }
        assertNotEquals(Verdict.GUILTY, verdictOf(2), findings.toString());
    }

    private static List<Cell> exaggerated(List<Cell> cells) {
        return cells.stream()
                .map(cell -> new Cell(
                        cell.build(),
                        cell.route(),
                        cell.machine(),
                        -1,
                        cell.tries() * 10,
                        cell.build() == 2 ? cell.tries() * 5 : 0,
                        0,
                        0,
                        cell.rated(),
                        cell.logTime(),
                        cell.logSquare()))
                .toList();
    }

    @Test
    void aTransientRegressionAtTheStartOfRolloutsHoldsThemUntilItEnds() {
        run(20, List.of(), 2, (build, endpointId) -> normalOutcome());
        startRollouts(2, 3);
        run(8, List.of(2, 3), 2, (build, endpointId) -> Outcome.completed(3.7 + 0.4 * random.nextGaussian()));
        assertTrue(findings.stream().allMatch(AttributionFinding::hold), findings.toString());
        run(25, List.of(2, 3), 2, (build, endpointId) -> normalOutcome());
        assertNoBuildGuilty();
        assertTrue(findings.stream().noneMatch(AttributionFinding::hold), findings.toString());
    }

    @Test
    void findingsDoNotDependOnReportOrderOrDuplicates() {
        RegressionAttributor inOrder = new RegressionAttributor(2, 2);
        RegressionAttributor shuffled = new RegressionAttributor(2, 2);
        inOrder.rolloutStarted(2, 0);
        shuffled.rolloutStarted(2, 0);
        List<NodeReport> all = new ArrayList<>();
        for (int second = 0; second < 12; second++) {
            for (int node = 0; node < NODES; node++) {
                List<Cell> cells = cells(
                        List.of(2),
                        2,
                        (build, endpointId) -> build == 2 && random.nextInt(5) == 0 ? Outcome.ERROR : normalOutcome());
                all.add(new NodeReport(node, INCARNATION, second, cells));
            }
        }
        for (int second = 0; second < 12; second += 2) {
            List<NodeReport> reports = new ArrayList<>(all.subList(second * NODES, (second + 2) * NODES));
            int now = second + 1;
            reports.forEach(report -> inOrder.addReport(report, now));
            reports.addAll(List.copyOf(reports));
            Collections.shuffle(reports, random);
            reports.forEach(report -> shuffled.addReport(report, now));
            assertEquals(
                    inOrder.evaluate(now).toString(), shuffled.evaluate(now).toString());
        }
        assertEquals(48, shuffled.discarded().duplicateReports());
        assertFalse(inOrder.addReport(all.get(0), 30), "too late");
    }

    @Test
    void theNewerOfTwoBuildsThatExplainAFleetRegressionIsSetAside() {
        run(20, List.of(), 2, (build, endpointId) -> normalOutcome());
        startRollouts(2, 3);
        boolean isAnySetAside = false;
        for (int i = 0; i < 30 && !isAnySetAside; i++) {
            run(1, List.of(2, 3), 2, (build, endpointId) -> Outcome.completed(4 + 0.4 * random.nextGaussian()));
            assertNoBuildGuilty();
            isAnySetAside = findings.stream().anyMatch(AttributionFinding::setAside);
        }
        assertTrue(isAnySetAside);
        assertEquals(
                List.of(3),
                findings.stream()
                        .filter(AttributionFinding::setAside)
                        .map(AttributionFinding::build)
                        .toList(),
                "the newest build");
        attributor.rolloutSetAside(3);
        run(2, List.of(2), 2, (build, endpointId) -> normalOutcome());
        assertEquals(
                List.of(2), findings.stream().map(AttributionFinding::build).toList());
    }
}
