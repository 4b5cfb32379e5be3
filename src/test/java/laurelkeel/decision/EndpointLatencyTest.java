package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class EndpointLatencyTest {
    private final EndpointLatency latency = new EndpointLatency();

    @Test
    void theRatioStartsAtOneAndFollowsTheAnswers() {
        assertEquals(1, latency.meanRatioToExpected());
        for (int i = 0; i < 100; i++) {
            latency.recordRatio(2);
        }
        assertEquals(2, latency.meanRatioToExpected(), 0.01);
    }

    @Test
    void theExpectedWaitGrowsWithTheAttemptsAhead() {
        for (int i = 0; i < 100; i++) {
            latency.recordWait(60, 3, 7);
        }
        assertEquals(60, latency.expectedWaitTicks(2), 0.1);
        assertEquals(120, latency.expectedWaitTicks(5), 0.1);
        assertEquals(7, latency.answeredAtTicks());
    }
}
