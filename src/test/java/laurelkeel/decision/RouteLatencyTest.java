package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RouteLatencyTest {
    private final RouteLatency latency = new RouteLatency(10_000);

    private void recordAnswers(long durationTicks, int level, int answers) {
        for (int i = 0; i < answers; i++) {
            latency.updateExpected(durationTicks, level);
        }
    }

    @Test
    void concurrencyHasTwoLevelsForEachDoubling() {
        assertEquals(0, RouteLatency.concurrencyLevel(0));
        assertEquals(0, RouteLatency.concurrencyLevel(1));
        assertEquals(2, RouteLatency.concurrencyLevel(2));
        assertEquals(6, RouteLatency.concurrencyLevel(8));
        assertEquals(11, RouteLatency.concurrencyLevel(1e9));
    }

    @Test
    void aLatencyIsComparedAtItsConcurrencyLevel() {
        recordAnswers(100, 0, 8);
        recordAnswers(300, 2, 8);
        assertEquals(2, latency.ratioToExpected(200, 0).orElseThrow(), 1e-9);
        assertEquals(1, latency.ratioToExpected(300, 2).orElseThrow(), 1e-9);
    }

    @Test
    void latencyAtAnUnknownLevelIsExtrapolatedFromTheNextLowerOne() {
        recordAnswers(100, 1, 8);
        assertEquals(1, latency.ratioToExpected(200, 4).orElseThrow(), 1e-9);
        assertTrue(latency.ratioToExpected(200, 0).isEmpty(), "no lower level is known");
    }

    @Test
    void theExpectedLatencyIsUnknownWithFewAnswers() {
        recordAnswers(100, 0, 7);
        assertFalse(latency.isKnown(0));
        assertTrue(latency.ratioToExpected(100, 0).isEmpty());
        assertEquals(2_000, latency.expectedOrUnloadedTicks(0), "a fifth of the objective is assumed");
        recordAnswers(100, 0, 1);
        assertEquals(100, latency.expectedOrUnloadedTicks(0), 1e-9);
    }

    @Test
    void aRatioIsBounded() {
        recordAnswers(100, 0, 8);
        assertEquals(4, latency.ratioToExpected(100_000, 0).orElseThrow());
    }

    @Test
    void theUnloadedLatencyIsTheSmallestMeanOfAHundredAnswers() {
        for (int batch = 0; batch < 3; batch++) {
            for (int i = 0; i < 100; i++) {
                latency.updateUnloaded(batch == 1 ? 300 : 500);
            }
        }
        assertEquals(300 * 1.02, latency.unloadedTicks(), 1e-9, "it grows by at most 2% per batch");
    }

    @Test
    void theDeviationFollowsTheDistanceFromTheExpectedLatency() {
        for (int i = 0; i < 500; i++) {
            latency.recordDeviation(i % 2 == 0 ? 0.8 : 1.2);
        }
        assertEquals(0.2, latency.relativeDeviation(), 0.01);
    }

    @Test
    void theRecentMeanFollowsRecentAnswers() {
        for (int i = 0; i < 100; i++) {
            latency.recordRecent(400);
        }
        assertEquals(400, latency.recentMeanTicks(), 1);
    }
}
