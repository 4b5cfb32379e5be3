package laurelkeel.attribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import laurelkeel.attribution.NodeReport.Cell;
import org.junit.jupiter.api.Test;

class NodeReportTest {
    @Test
    void impossibleCellsAreInvalid() {
        assertTrue(new Cell(1, 0, "m", -1, 10, 4, 6, 10, 10, 30, 90).hasConsistentCounts());
        for (Cell invalid : List.of(
                new Cell(-1, 0, "m", -1, 10, 0, 0, 0, 0, 0, 0),
                new Cell(1, -1, "m", -1, 10, 0, 0, 0, 0, 0, 0),
                new Cell(1, 0, null, -1, 10, 0, 0, 0, 0, 0, 0),
                new Cell(1, 0, "m", -2, 10, 0, 0, 0, 0, 0, 0),
                new Cell(1, 0, "m", -1, 0, 0, 0, 0, 0, 0, 0),
                new Cell(1, 0, "m", -1, 10, -1, 0, 0, 0, 0, 0),
                new Cell(1, 0, "m", -1, 10, 5, 6, 0, 0, 0, 0),
                new Cell(1, 0, "m", -1, 10, 0, 0, 11, 0, 0, 0),
                new Cell(1, 0, "m", -1, 10, 0, 0, 0, 11, 0, 0),
                new Cell(1, 0, "m", -1, 10, 0, 0, 0, 1, Double.NaN, 0),
                new Cell(1, 0, "m", -1, 10, 0, 0, 0, 1, 1, Double.POSITIVE_INFINITY),
                new Cell(1, 0, "m", -1, 10, 0, 0, 0, 1, 1, -1))) {
            assertFalse(invalid.hasConsistentCounts(), invalid.toString());
        }
    }

    @Test
    void scalingMultipliesAllCountsAndSums() {
        Cell cell = new Cell(1, 0, "m", 3, 100, 40, 60, 10, 50, 150, 450);
        assertEquals(new Cell(1, 0, "m", 3, 10, 4, 6, 1, 5, 15, 45), cell.scaled(0.1));
    }

    @Test
    void aScaledCellKeepsOneAttempt() {
        Cell scaled = new Cell(1, 0, "m", -1, 100, 100, 0, 0, 0, 0, 0).scaled(0.001);
        assertEquals(1, scaled.tries());
        assertTrue(scaled.hasConsistentCounts());
    }
}
