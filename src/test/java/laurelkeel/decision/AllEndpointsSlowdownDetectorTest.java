package laurelkeel.decision;

import static laurelkeel.decision.DecisionFixtures.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

/** Ten seconds before the build under judgement has traffic, and ten in which it has. */
class AllEndpointsSlowdownDetectorTest {
    private static final long NOW_TICKS = 20 * SECOND;

    private final OutcomeHistory history = new OutcomeHistory(1);
    private final AllEndpointsSlowdownDetector detector = new AllEndpointsSlowdownDetector(1);

    private void seconds(int from, int to, double ratio, int requests, boolean isJudged) {
        for (int s = from; s < to; s++) {
            OutcomeBucket second = history.bucketAt(s * SECOND);
            for (String endpoint : new String[] {"a", "b", "c"}) {
                second.addLatencyRatio(endpoint, ratio);
            }
            for (int i = 0; i < requests; i++) {
                second.requestReceived();
                second.attemptSent(isJudged && i % 4 == 0);
            }
        }
    }

    @Test
    void aFleetThatIsSlowSinceTheBuildHasTrafficIsFound() {
        seconds(0, 10, 1, 20, false);
        seconds(10, 20, 2, 20, true);
        Regression.FleetSlowdown found = detector.detect(history, NOW_TICKS);
        assertNotNull(found);
        assertEquals(new Regression.FleetSlowdown(10, 10, 1), found);
    }

    @Test
    void aFleetThatWasSlowBeforeIsNoFinding() {
        seconds(0, 10, 2, 20, false);
        seconds(10, 20, 2, 20, true);
        assertNull(detector.detect(history, NOW_TICKS));
    }

    @Test
    void aSpellThatDoesNotLastIsNoFinding() {
        seconds(0, 10, 1, 20, false);
        seconds(10, 12, 1, 20, true);
        seconds(12, 20, 2, 20, true);
        assertNull(detector.detect(history, NOW_TICKS));
    }

    @Test
    void underMoreRequestsThanBeforeSlownessProvesNothing() {
        seconds(0, 10, 1, 20, false);
        seconds(10, 20, 2, 27, true);
        assertNull(detector.detect(history, NOW_TICKS));
    }

    @Test
    void withNothingBeforeThereIsNoFinding() {
        seconds(10, 20, 2, 20, true);
        assertNull(detector.detect(history, NOW_TICKS));
    }

    @Test
    void aNodeWhoseVoteDecidesMoreNeedsMoreSeconds() {
        seconds(0, 10, 1, 20, false);
        seconds(12, 20, 2, 20, true);
        assertNotNull(detector.detect(history, NOW_TICKS));
        assertNull(
                new AllEndpointsSlowdownDetector(1.5).detect(history, NOW_TICKS),
                "eight seconds, where nine are needed");
    }
}
