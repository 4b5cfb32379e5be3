package laurelkeel.attribution;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class ReportAggregatorTest {
    private static NodeReport report(int front, int tries, int fails) {
        return new NodeReport(
                front, "life", 1, List.of(new NodeReport.Cell(2, 0, "m", 0, tries, fails, 0, 0, 0, 0, 0)));
    }

    @Test
    void noFrontWeighsMoreThanThreeTimesTheMiddleOne() {
        ReportAggregator pool = new ReportAggregator(4);
        for (int front = 0; front < 4; front++) {
            pool.add(report(front, 100, 1), 1);
        }
        pool.add(report(4, 30_000, 30_000), 1);
        List<NodeReport.Cell> loud = pool.closeSeconds(10).get(0).cellsByNode().get(4);
        assertEquals(300, loud.stream().mapToInt(NodeReport.Cell::tries).sum());
        assertEquals(300, loud.stream().mapToInt(NodeReport.Cell::fails).sum());
    }
}
