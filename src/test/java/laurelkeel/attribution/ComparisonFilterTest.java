package laurelkeel.attribution;

import static laurelkeel.attribution.RecentTrafficTest.second;
import static laurelkeel.attribution.ReportAggregatorTest.cell;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import laurelkeel.attribution.NodeReport.Cell;
import org.junit.jupiter.api.Test;

class ComparisonFilterTest {
    private static final int CANARY = 2;
    private static final int REFERENCE = 1;

    private final Cell canaryOutlier = cell(CANARY, "a", -1, 20, 8, 2);
    private final Cell canaryUsual = cell(CANARY, "b", -1, 20, 0, 0);
    private final Cell referenceOutlier = cell(REFERENCE, "c", -1, 20, 8, 2);
    private final Cell referenceUsual = cell(REFERENCE, "d", -1, 20, 0, 0);
    private final Cell otherCanary = cell(3, "e", -1, 20, 0, 0);

    private ComparisonFilter filter(Cell... cells) {
        RecentTraffic traffic = new RecentTraffic();
        traffic.addSecond(second(cells));
        return new ComparisonFilter(CANARY, build -> build == REFERENCE, traffic);
    }

    @Test
    void aCanaryIsComparedWithReferenceBuildsOnly() {
        ComparisonFilter filter = filter(canaryUsual, referenceUsual, otherCanary);
        assertTrue(filter.accepts(canaryUsual));
        assertTrue(filter.accepts(referenceUsual));
        assertFalse(filter.accepts(otherCanary));
        assertFalse(filter.acceptsForUnanswered(otherCanary));
    }

    @Test
    void outliersOfCanaryAndReferenceBuildsAreExcluded() {
        ComparisonFilter filter = filter(canaryOutlier, canaryUsual, referenceOutlier, referenceUsual);
        assertEquals("a", filter.outlierEndpoint());
        for (Cell outlier : new Cell[] {canaryOutlier, referenceOutlier}) {
            assertFalse(filter.accepts(outlier));
            assertFalse(filter.acceptsForUnanswered(outlier));
        }
        assertTrue(filter.accepts(referenceUsual));
        assertTrue(filter.acceptsForUnanswered(referenceUsual));
    }

    @Test
    void aTenantWithBadAnswersAtAllBuildsIsExcluded() {
        Cell failing = cell(CANARY, "b", 7, 20, 8, 0);
        Cell usual = cell(CANARY, "b", 8, 60, 0, 0);
        ComparisonFilter filter = filter(failing, usual);
        assertEquals(7, filter.excludedTenant());
        assertFalse(filter.accepts(failing));
        assertTrue(filter.accepts(usual));
        assertTrue(filter.acceptsForUnanswered(failing));
    }
}
