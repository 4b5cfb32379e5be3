package laurelkeel.attribution;

import static laurelkeel.attribution.ReportAggregatorTest.cell;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import laurelkeel.attribution.NodeReport.Cell;
import org.junit.jupiter.api.Test;

/** Tests the differences of shares and the ratios of latencies that findings report. */
class EffectEstimatesTest {
    private static AttemptCounts counts(int attempts, int failed) {
        AttemptCounts counts = new AttemptCounts();
        counts.add(cell(1, "a", -1, attempts, failed, 0));
        return counts;
    }

    @Test
    void strataHaveMantelHaenszelWeights() {
        ShareDifference difference = new ShareDifference();
        difference.add(counts(10, 5), counts(10, 0), BadOutcome.FAILED);
        difference.add(counts(30, 0), counts(30, 0), BadOutcome.FAILED);
        Estimate estimate = difference.estimate(1.96);
        // the strata have the weights 5 and 15
        assertEquals(0.125, estimate.value(), 1e-12);
        assertTrue(estimate.low() < 0.125 && estimate.high() > 0.125, estimate.toString());
        assertEquals(estimate.high() - 0.125, 0.125 - estimate.low(), 1e-12);
    }

    @Test
    void withoutStrataTheDifferenceIsUnknown() {
        assertEquals(new Estimate(0, -1, 1), new ShareDifference().estimate(1.96));
    }

    @Test
    void theLatencyRatioCoversTheWindowOnly() {
        LatencyRatioWindow window = new LatencyRatioWindow(5);
        window.add(3);
        window.add(0);
        assertEquals(Double.POSITIVE_INFINITY, window.estimate(1.96).high());
        for (int i = 0; i < 5; i++) {
            window.add(Math.log(2));
        }
        Estimate estimate = window.estimate(1.96);
        assertEquals(2, estimate.value(), 1e-12);
        assertTrue(estimate.low() > 1.7 && estimate.high() < 2.3, estimate.toString());
    }

    private static Cell timed(String endpointId, int route, int attempts, double logLatency) {
        return new Cell(2, route, endpointId, -1, attempts, 0, 0, 0, attempts, attempts * logLatency, 0);
    }

    @Test
    void theLatencyRatioIsThatOfTheMedianEndpoint() {
        SecondLatencyComparison comparison = new SecondLatencyComparison();
        comparison.addReference(timed("x", 0, 10, 3));
        comparison.addReference(timed("x", 1, 10, 5));
        comparison.addCanary(timed("a", 0, 5, 3.1));
        assertTrue(Double.isNaN(comparison.medianLogRatio()), "with one endpoint");
        comparison.addCanary(timed("b", 1, 5, 5.5));
        assertEquals(0.1, comparison.medianLogRatio(), 1e-9);
        comparison.addCanary(timed("c", 0, 5, 9));
        assertEquals(0.5, comparison.medianLogRatio(), 1e-9);
    }

    @Test
    void routesWithFewReferenceAttemptsAreNotCompared() {
        SecondLatencyComparison comparison = new SecondLatencyComparison();
        comparison.addReference(timed("x", 0, 3, 3));
        comparison.addCanary(timed("a", 0, 5, 4));
        comparison.addCanary(timed("b", 0, 5, 4));
        assertTrue(Double.isNaN(comparison.medianLogRatio()));
    }
}
