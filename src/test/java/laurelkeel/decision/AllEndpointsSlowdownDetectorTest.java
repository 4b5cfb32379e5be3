package laurelkeel.decision;

import static laurelkeel.decision.DecisionFixtures.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

/** In most tests, ten seconds without traffic at the evaluated build are followed by ten seconds with it. */
class AllEndpointsSlowdownDetectorTest {
    private static final long NOW_TICKS = 20 * SECOND;

    private final OutcomeHistory history = new OutcomeHistory(1);
    private final AllEndpointsSlowdownDetector detector = new AllEndpointsSlowdownDetector(1);

    private void recordSeconds(int from, int to, double ratio, int requests, boolean isEvaluatedBuild) {
        for (int s = from; s < to; s++) {
            OutcomeBucket bucket = history.bucketAt(s * SECOND);
            for (String endpoint : new String[] {"a", "b", "c"}) {
                bucket.addLatencyRatio(endpoint, ratio);
            }
            for (int i = 0; i < requests; i++) {
                bucket.requestReceived();
                bucket.attemptSent(isEvaluatedBuild && i % 4 == 0);
            }
        }
    }

    @Test
    void detectsSlowdownThatStartsWithTheBuildsTraffic() {
        recordSeconds(0, 10, 1, 20, false);
        recordSeconds(10, 20, 2, 20, true);
        Regression.AllEndpointsSlowdown found = detector.detect(history, NOW_TICKS);
        assertNotNull(found);
        assertEquals(new Regression.AllEndpointsSlowdown(10, 10, 1), found);
    }

    @Test
    void ignoresEndpointsThatWereSlowBefore() {
        recordSeconds(0, 10, 2, 20, false);
        recordSeconds(10, 20, 2, 20, true);
        assertNull(detector.detect(history, NOW_TICKS));
    }

    @Test
    void ignoresSlowdownInTooFewOfTheSeconds() {
        recordSeconds(0, 10, 1, 20, false);
        recordSeconds(10, 12, 1, 20, true);
        recordSeconds(12, 20, 2, 20, true);
        assertNull(detector.detect(history, NOW_TICKS));
    }

    @Test
    void ignoresSlowdownUnderHigherLoad() {
        recordSeconds(0, 10, 1, 20, false);
        recordSeconds(10, 20, 2, 27, true);
        assertNull(detector.detect(history, NOW_TICKS));
    }

    @Test
    void ignoresSlowEndpointsIfNothingWasRecordedBefore() {
        recordSeconds(10, 20, 2, 20, true);
        assertNull(detector.detect(history, NOW_TICKS));
    }

    @Test
    void requiresMoreSecondsWithHigherStrictness() {
        recordSeconds(0, 10, 1, 20, false);
        recordSeconds(12, 20, 2, 20, true);
        assertNotNull(detector.detect(history, NOW_TICKS));
        assertNull(
                new AllEndpointsSlowdownDetector(1.5).detect(history, NOW_TICKS),
                "eight seconds instead of the nine required");
    }
}
