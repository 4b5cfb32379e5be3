package laurelkeel.attribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import laurelkeel.attribution.NodeReport.Cell;
import org.junit.jupiter.api.Test;

class ReportAggregatorTest {
    private final ReportAggregator aggregator = new ReportAggregator(4);

    static Cell cell(int build, String endpointId, int tenant, int attempts, int failed, int unanswered) {
        return new Cell(build, 0, endpointId, tenant, attempts, failed, unanswered, 0, 0, 0, 0);
    }

    private static NodeReport report(int node, long second, Cell... cells) {
        return new NodeReport(node, "x", second, List.of(cells));
    }

    private static Cell cell(int attempts, int failed) {
        return cell(2, "m", 0, attempts, failed, 0);
    }

    @Test
    void noNodeHasMoreThanThreeTimesTheMedianWeight() {
        for (int node = 0; node < 4; node++) {
            aggregator.add(report(node, 1, cell(100, 1)), 1);
        }
        aggregator.add(report(4, 1, cell(30_000, 30_000)), 1);
        List<Cell> limited = aggregator.closeSeconds(10).get(0).cellsByNode().get(4);
        assertEquals(300, limited.stream().mapToInt(Cell::tries).sum());
        assertEquals(300, limited.stream().mapToInt(Cell::fails).sum());
    }

    @Test
    void secondsCloseInOrderAfterTheMaximumDelay() {
        aggregator.add(report(0, 2, cell(1, 0)), 2);
        aggregator.add(report(0, 1, cell(1, 0)), 2);
        assertEquals(List.of(), aggregator.closeSeconds(5));
        assertEquals(
                List.of(1L, 2L),
                aggregator.closeSeconds(7).stream().map(ReportedSecond::second).toList());
    }

    @Test
    void discardedReportsAreCountedByReason() {
        assertTrue(aggregator.add(report(0, 1, cell(1, 0)), 1));
        assertFalse(aggregator.add(report(0, 1, cell(1, 0)), 1), "duplicate");
        assertTrue(aggregator.add(new NodeReport(0, "y", 1, List.of()), 1), "another incarnation");
        assertFalse(aggregator.add(report(0, 10, cell(1, 0)), 1), "from the future");
        assertTrue(aggregator.add(report(0, 2, cell(1, 5)), 1), "with an inconsistent cell");
        aggregator.closeSeconds(6);
        assertFalse(aggregator.add(report(1, 1, cell(1, 0)), 6), "late");
        assertEquals(new DiscardCounts(1, 1, 2, 0), aggregator.discarded());
    }

    @Test
    void cellsBeyondTheLimitAreDiscarded() {
        List<Cell> cells = new ArrayList<>();
        cells.add(cell(1, 5));
        for (int i = 0; i < 3000; i++) {
            cells.add(cell(1, "m" + i, -1, 1, 0, 0));
        }
        aggregator.add(new NodeReport(9, "x", 1, cells), 1);
        assertEquals(new DiscardCounts(0, 0, 1, 3000 - NodeReport.MAX_CELLS), aggregator.discarded());
        assertEquals(
                NodeReport.MAX_CELLS,
                aggregator.closeSeconds(10).get(0).cellsByNode().get(9).size());
    }
}
