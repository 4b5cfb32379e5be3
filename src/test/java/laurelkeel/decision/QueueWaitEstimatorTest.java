package laurelkeel.decision;

import static laurelkeel.decision.DecisionFixtures.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class QueueWaitEstimatorTest {
    private final QueueWaitEstimator waits = new QueueWaitEstimator();
    private final EndpointLatency endpoint = new EndpointLatency();

    private void recordEndpointWaits(double waitTicks, int inFlight, long nowTicks) {
        for (int i = 0; i < 200; i++) {
            endpoint.recordWait(waitTicks, inFlight, nowTicks);
        }
    }

    private void recordWaits(double waitTicks) {
        for (int i = 0; i < 2_000; i++) {
            waits.recordWait(waitTicks, 100);
        }
    }

    @Test
    void afterAFreshAnswerOnlyTheEndpointsOwnWaitCounts() {
        recordWaits(900);
        recordEndpointWaits(100, 4, SECOND);
        assertEquals(100, waits.expectedWaitTicks(endpoint, 3, SECOND), 1);
        assertEquals(200, waits.expectedWaitTicks(endpoint, 7, SECOND), 2, "with twice as many attempts ahead");
    }

    @Test
    void theMeanOverAllEndpointsReplacesTheOwnWaitWithinTwoSeconds() {
        recordWaits(900);
        recordEndpointWaits(100, 4, SECOND);
        assertEquals(500, waits.expectedWaitTicks(endpoint, 3, 2 * SECOND), 2);
        assertEquals(900, waits.expectedWaitTicks(endpoint, 3, 3 * SECOND), 1);
        assertEquals(900, waits.expectedWaitTicks(endpoint, 3, 9 * SECOND), 1);
    }

    @Test
    void noWaitIsExpectedIfAnswersAreFasterThanUnloaded() {
        recordWaits(-50);
        recordEndpointWaits(-50, 4, SECOND);
        assertEquals(0, waits.expectedWaitTicks(endpoint, 3, 2 * SECOND));
    }

    @Test
    void aSingleAnswerChangesTheMeanMoreAtALowAnswerRate() {
        QueueWaitEstimator lowRate = new QueueWaitEstimator();
        lowRate.recordWait(1_000, 2);
        assertEquals(200, lowRate.meanWaitTicks(), 1e-9);
        waits.recordWait(1_000, 1_000);
        assertEquals(20, waits.meanWaitTicks(), 1e-9);
    }
}
