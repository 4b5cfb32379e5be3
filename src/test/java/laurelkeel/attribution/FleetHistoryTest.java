package laurelkeel.attribution;

import static laurelkeel.attribution.RecentTrafficTest.second;
import static laurelkeel.attribution.ReportAggregatorTest.cell;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import laurelkeel.attribution.NodeReport.Cell;
import org.junit.jupiter.api.Test;

class FleetHistoryTest {
    private static final int REFERENCE = 1;

    private final FleetHistory history = new FleetHistory();

    private void add(Cell... cells) {
        RecentTraffic traffic = new RecentTraffic();
        traffic.addSecond(second(cells));
        history.addSecond(second(cells), build -> build == REFERENCE, traffic);
    }

    @Test
    void totalsCoverReferenceBuildsAndSharesCoverAllBuilds() {
        add(cell(REFERENCE, "a", -1, 60, 6, 0), cell(2, "b", -1, 20, 20, 0));
        FleetSecond only = history.seconds().get(0);
        assertEquals(80, only.attempts());
        assertEquals(0.25, only.shareOf(2));
        assertEquals(0, only.shareOf(3));
        assertEquals(60, only.totalsByRoute().get(0).attempts());
        assertEquals(6, only.totalsByRoute().get(0).badAttempts());
    }

    @Test
    void unrepresentativeEndpointsAreExcluded() {
        add(cell(REFERENCE, "a", -1, 60, 0, 0), cell(REFERENCE, "b", -1, 20, 0, 5));
        assertEquals(60, history.seconds().get(0).totalsByRoute().get(0).attempts());
    }

    @Test
    void secondsWithoutReferenceAttemptsAreSkipped() {
        add();
        add(cell(2, "b", -1, 20, 0, 0));
        assertEquals(List.of(), history.seconds());
    }

    @Test
    void oneMinuteIsRetained() {
        for (int i = 0; i < 70; i++) {
            add(cell(REFERENCE, "a", -1, 1 + i, 0, 0));
        }
        assertEquals(60, history.seconds().size());
        assertEquals(11, history.seconds().get(0).attempts());
    }

    @Test
    void smoothingPreservesStepsAndRemovesSingleSeconds() {
        int[] canaryAttempts = {0, 0, 100, 0, 0, 0, 100, 100, 100, 100};
        for (int attempts : canaryAttempts) {
            if (attempts > 0) {
                add(cell(REFERENCE, "a", -1, 100, 0, 0), cell(2, "b", -1, attempts, 0, 0));
            } else {
                add(cell(REFERENCE, "a", -1, 100, 0, 0));
            }
        }
        assertArrayEquals(
                new double[] {0, 0, 0, 0, 0, 0, 0.5, 0.5, 0.5, 0.5}, FleetHistory.smoothedShares(history.seconds(), 2));
    }

    @Test
    void aChangeInTheMixOfRoutesIsNoRegression() {
        Cell slowRoute = new Cell(REFERENCE, 0, "a", -1, 10, 0, 0, 0, 10, 50, 0);
        Cell fastRoute = new Cell(REFERENCE, 1, "a", -1, 10, 0, 0, 0, 10, 20, 0);
        Cell moreOfFastRoute = new Cell(REFERENCE, 1, "a", -1, 90, 0, 0, 0, 90, 180, 0);
        add(slowRoute, fastRoute);
        add(slowRoute, moreOfFastRoute);
        assertArrayEquals(new double[] {0, 0}, FleetMeasure.LATENCY.levels(history.seconds()), 1e-12);
    }

    @Test
    void fourPercentBadAttemptsHaveTheLevelOfARelevantLatencyRatio() {
        add(cell(REFERENCE, "a", -1, 100, 0, 0));
        add(cell(REFERENCE, "a", -1, 100, 8, 0));
        double[] levels = FleetMeasure.BAD_ATTEMPTS.levels(history.seconds());
        assertArrayEquals(new double[] {-0.25, 0.25}, levels, 1e-12);
    }
}
