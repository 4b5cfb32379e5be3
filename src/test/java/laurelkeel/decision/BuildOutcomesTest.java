package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class BuildOutcomesTest {
    @Test
    void addsUpAllCounts() {
        BuildOutcomes first = new BuildOutcomes();
        first.addAttempts(10, 2);
        first.addRecoveredFailure();
        first.addLatencyRatio(1);
        BuildOutcomes second = new BuildOutcomes();
        second.addAttempts(5, 1);
        second.addComplaint();
        second.addLatencyRatio(3);
        first.add(second);
        assertEquals(15, first.attempts());
        assertEquals(3, first.failures());
        assertEquals(1, first.recoveredFailures());
        assertEquals(1, first.complaints());
        assertEquals(2, first.latencySampleCount());
        assertEquals(2, first.meanLatencyRatio());
        assertEquals(0.5, first.meanLatencyRatioVariance(2), 1e-9);
    }
}
