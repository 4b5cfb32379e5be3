package laurelkeel.attribution;

import static laurelkeel.attribution.ReportAggregatorTest.cell;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.Map;
import java.util.Set;
import laurelkeel.attribution.NodeReport.Cell;
import org.junit.jupiter.api.Test;

class RecentTrafficTest {
    private final RecentTraffic traffic = new RecentTraffic();

    static ReportedSecond second(Cell... cells) {
        return new ReportedSecond(0, Map.of(0, List.of(cells)));
    }

    @Test
    void anEndpointWithMostOfItsBuildsErrorsIsAnOutlier() {
        traffic.addSecond(second(cell(2, "a", -1, 20, 8, 0), cell(2, "b", -1, 20, 1, 0), cell(2, "c", -1, 20, 0, 0)));
        assertEquals("a", traffic.outlierEndpoint(2));
        assertEquals(3, traffic.endpointCount(2));
        assertNull(traffic.outlierEndpoint(3));
    }

    @Test
    void endpointsThatFailEquallyAreNoOutliers() {
        traffic.addSecond(second(cell(2, "a", -1, 20, 8, 0), cell(2, "b", -1, 20, 6, 0)));
        assertNull(traffic.outlierEndpoint(2));
    }

    @Test
    void anEndpointWithMostOfItsBuildsAttemptsIsNoOutlier() {
        traffic.addSecond(second(cell(2, "a", -1, 40, 8, 0), cell(2, "b", -1, 20, 0, 0)));
        assertNull(traffic.outlierEndpoint(2));
    }

    @Test
    void theLeastResponsiveEndpointHasTheMostUnansweredAttempts() {
        traffic.addSecond(second(cell(2, "a", -1, 20, 0, 1), cell(2, "b", -1, 20, 0, 3), cell(3, "c", -1, 9, 0, 9)));
        assertEquals("b", traffic.leastResponsiveEndpoint(2));
        assertEquals(Set.of("b"), traffic.unrepresentativeEndpoints(2));
        assertNull(traffic.leastResponsiveEndpoint(1));
    }

    @Test
    void tenantsWithBadAnswersAtAllBuildsAndAtOneBuildAreDistinguished() {
        traffic.addSecond(second(
                cell(1, "a", 7, 20, 8, 0), cell(1, "a", 8, 200, 0, 0),
                cell(2, "b", 7, 20, 8, 0), cell(2, "b", 8, 60, 0, 0)));
        assertEquals(7, traffic.outlierTenant(2));
        assertEquals(7, traffic.outlierTenantOfAllBuilds(2));
        RecentTraffic oneBuild = new RecentTraffic();
        oneBuild.addSecond(second(
                cell(1, "a", 7, 20, 0, 0), cell(1, "a", 8, 200, 0, 0),
                cell(2, "b", 7, 20, 8, 0), cell(2, "b", 8, 60, 0, 0)));
        assertEquals(7, oneBuild.outlierTenant(2));
        assertEquals(RecentTraffic.NO_TENANT, oneBuild.outlierTenantOfAllBuilds(2));
    }

    @Test
    void trafficIsDroppedAfterTenSeconds() {
        traffic.addSecond(second(cell(2, "a", -1, 20, 0, 5)));
        for (int i = 0; i < 9; i++) {
            traffic.addSecond(second());
        }
        assertEquals("a", traffic.leastResponsiveEndpoint(2));
        traffic.addSecond(second());
        assertNull(traffic.leastResponsiveEndpoint(2));
        assertEquals(0, traffic.endpointCount(2));
    }
}
