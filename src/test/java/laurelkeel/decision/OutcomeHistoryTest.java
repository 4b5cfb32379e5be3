package laurelkeel.decision;

import static laurelkeel.decision.DecisionFixtures.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class OutcomeHistoryTest {
    private static final int CANARY = 2;
    private static final int STABLE = 1;

    private final OutcomeHistory history = new OutcomeHistory(2);

    private void attempts(long second, int build, int route, int count) {
        history.bucketAt(second * SECOND + 5).outcomes(build, route).addAttempts(count, 0);
    }

    @Test
    void sumsOutcomesByRouteAndOverall() {
        attempts(1, CANARY, 0, 3);
        attempts(2, CANARY, 1, 4);
        attempts(2, STABLE, 1, 50);
        RouteOutcomes total = history.total(CANARY);
        assertEquals(3, total.of(0).attempts());
        assertEquals(4, total.of(1).attempts());
        assertEquals(7, total.overall().attempts());
        assertEquals(7, total.of(RouteOutcomes.ALL_ROUTES).attempts());
    }

    @Test
    void sumsOnlySecondsSharedWithTheOtherBuild() {
        attempts(1, STABLE, 0, 10);
        attempts(2, STABLE, 0, 20);
        attempts(2, CANARY, 0, 1);
        assertEquals(20, history.totalInSharedSeconds(STABLE, CANARY).overall().attempts());
        assertEquals(1, history.totalInSharedSeconds(CANARY, STABLE).overall().attempts());
    }

    @Test
    void returnsSpansFromTheLastToTheFirst() {
        attempts(40, CANARY, 0, 1);
        attempts(36, CANARY, 0, 2);
        attempts(35, CANARY, 0, 4);
        List<ComparedOutcomes> spans = history.compare(CANARY, STABLE, 5, 40 * SECOND);
        assertEquals(6, spans.size(), "six spans of 5 seconds make 30 seconds");
        assertEquals(3, spans.get(0).candidate().overall().attempts());
        assertEquals(4, spans.get(1).candidate().overall().attempts());
        List<ComparedOutcomes> whole = history.compareAsOneSpan(CANARY, STABLE, 40 * SECOND);
        assertEquals(7, whole.get(0).candidate().overall().attempts());
    }

    @Test
    void discardsBucketsAfterHalfAMinute() {
        attempts(10, CANARY, 0, 1);
        attempts(11, CANARY, 0, 2);
        history.removeExpired(41 * SECOND);
        assertEquals(2, history.total(CANARY).overall().attempts());
        assertEquals(1, history.lastSeconds(30, 41 * SECOND).size());
        assertEquals(0, history.lastSeconds(29, 41 * SECOND).size());
    }

    @Test
    void returnsTheLowerTertileOfTheLatencyRatiosOfEndpoints() {
        OutcomeBucket bucket = history.bucketAt(0);
        bucket.addLatencyRatio("a", 1);
        bucket.addLatencyRatio("a", 3);
        bucket.addLatencyRatio("b", 5);
        assertEquals(0, bucket.lowerTertileLatencyRatio(), "two endpoints are too few");
        bucket.addLatencyRatio("c", 1);
        assertEquals(2, bucket.lowerTertileLatencyRatio());
    }

    @Test
    void countsTraffic() {
        OutcomeBucket bucket = history.bucketAt(0);
        bucket.requestReceived();
        bucket.attemptSent(true);
        bucket.attemptSent(false);
        assertEquals(1, bucket.requestsReceived());
        assertEquals(2, bucket.attemptsSent());
        assertEquals(1, bucket.attemptsSentToEvaluatedBuild());
        assertFalse(bucket.hasOutcomesOf(CANARY));
        bucket.outcomes(CANARY, 0);
        assertTrue(bucket.hasOutcomesOf(CANARY));
    }
}
