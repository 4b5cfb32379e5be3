package laurelkeel.decision;

import static laurelkeel.decision.DecisionFixtures.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import laurelkeel.api.Event.AttemptOutcome;
import org.junit.jupiter.api.Test;

class EndpointHealthTest {
    private final EndpointHealth health = new EndpointHealth();

    private boolean record(AttemptOutcome outcome, long nowTicks) {
        return health.record(outcome, false, nowTicks);
    }

    @Test
    void twoConsecutiveFailuresEjectAnEndpoint() {
        assertTrue(record(AttemptOutcome.CONNECTION_LOST, 0));
        assertFalse(health.isSuspect());
        record(AttemptOutcome.TIMED_OUT, 0);
        assertTrue(health.isSuspect());
        assertTrue(health.isEjected(0, SECOND / 2 - 1));
        assertFalse(health.isEjected(0, SECOND / 2));
    }

    @Test
    void afterAnEjectionAnEndpointReceivesOneAttemptAtATime() {
        record(AttemptOutcome.CONNECT_FAILED, 0);
        record(AttemptOutcome.CONNECT_FAILED, 0);
        assertTrue(health.isEjected(1, SECOND));
        record(AttemptOutcome.COMPLETED, SECOND);
        assertFalse(health.isSuspect());
        assertFalse(health.isEjected(1, SECOND));
    }

    @Test
    void ejectionsDoubleUpToFourSeconds() {
        record(AttemptOutcome.CONNECT_FAILED, 0);
        for (long ejectionTicks : new long[] {5_000, 10_000, 20_000, 40_000, 40_000, 40_000}) {
            record(AttemptOutcome.CONNECT_FAILED, 0);
            assertTrue(health.isEjected(0, ejectionTicks - 1));
            assertFalse(health.isEjected(0, ejectionTicks));
        }
    }

    @Test
    void aTimeoutWhenTheAnswerIsDueIsNoFailure() {
        for (int i = 0; i < 5; i++) {
            assertFalse(health.record(AttemptOutcome.TIMED_OUT, true, 0));
        }
        assertFalse(health.isSuspect());
        assertEquals(5, health.outcomeCount());
    }

    @Test
    void anEndpointAtCapacityIsExcludedFor200Milliseconds() {
        assertTrue(record(AttemptOutcome.OVERLOADED, 0));
        assertTrue(health.isEjected(0, SECOND / 5 - 1));
        assertFalse(health.isSuspect());
        assertFalse(health.isEjected(0, SECOND / 5));
    }

    @Test
    void errorsEjectOnlyAnOutlier() {
        assertFalse(record(AttemptOutcome.FAILED, 0));
        assertFalse(health.isEjected(0, 0));
        health.setErrorOutlier(true);
        record(AttemptOutcome.FAILED, 0);
        assertTrue(health.isSuspect());
        assertTrue(health.isEjected(0, SECOND - 1));
        assertFalse(health.isEjected(0, SECOND));
    }

    @Test
    void theErrorRateFollowsRecentAnswers() {
        for (int i = 0; i < 50; i++) {
            record(AttemptOutcome.FAILED, 0);
        }
        assertTrue(health.errorRate() > 0.95);
        record(AttemptOutcome.TIMED_OUT, 0);
        assertTrue(health.errorRate() > 0.95, "a timeout is no error answer");
        for (int i = 0; i < 50; i++) {
            record(AttemptOutcome.COMPLETED, 0);
        }
        assertTrue(health.errorRate() < 0.05);
    }
}
