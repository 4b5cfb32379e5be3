package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class RegressionTest {
    @Test
    void describesFindingsForTheLog() {
        assertEquals("higher error rate on route 2", new Regression.HigherErrorRate(2).describe());
        assertEquals(
                "higher complaint rate on all routes",
                new Regression.HigherComplaintRate(RouteOutcomes.ALL_ROUTES).describe());
        assertEquals(
                "latency ratio 2.5 over 50 answers, baseline 1.0 over 90 answers",
                new Regression.HigherLatency(2.5, 50, 1, 90).describe());
        assertEquals(
                "all endpoints slowed down in 9 of 10 s, latency ratio before 1.1",
                new Regression.AllEndpointsSlowdown(9, 10, 1.1).describe());
    }
}
