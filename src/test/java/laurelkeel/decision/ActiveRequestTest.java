package laurelkeel.decision;

import static laurelkeel.decision.DecisionFixtures.OBJECTIVE_TICKS;
import static laurelkeel.decision.DecisionFixtures.SECOND;
import static laurelkeel.decision.DecisionFixtures.attempt;
import static laurelkeel.decision.DecisionFixtures.ended;
import static laurelkeel.decision.DecisionFixtures.endpoint;
import static laurelkeel.decision.DecisionFixtures.request;
import static laurelkeel.decision.DecisionFixtures.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Settings.Idempotency;
import org.junit.jupiter.api.Test;

class ActiveRequestTest {
    private static final long MARGIN_TICKS = 150;

    private final ActiveRequest request = request(Idempotency.IDEMPOTENT);
    private final Endpoint endpoint = endpoint("e");

    @Test
    void checksAreDueFifteenMillisecondsBeforeDeadlineAndObjective() {
        assertEquals(3 * SECOND - MARGIN_TICKS, request.answerDueAtTicks());
        assertEquals(OBJECTIVE_TICKS - MARGIN_TICKS, request.objectiveCheckAtTicks());
    }

    @Test
    void onlyTheAttemptInFlightCanEnd() {
        Attempt first = send(request, endpoint, 0);
        assertSame(first, request.attemptEnded(ended(first, AttemptOutcome.OVERLOADED, false)));
        assertNull(request.attemptEnded(ended(first, AttemptOutcome.COMPLETED, true)), "it has already ended");
        Attempt second = send(request, endpoint, 0);
        assertNull(
                request.attemptEnded(ended(first, AttemptOutcome.COMPLETED, true)), "it is not the attempt in flight");
        assertSame(second, request.attemptInFlight());
        assertFalse(request.isFinished());
    }

    @Test
    void theFirstAttemptThatMayHaveRunIsStored() {
        attempt(request, endpoint, AttemptOutcome.CONNECT_FAILED, 0);
        assertNull(request.firstPossibleRun());
        attempt(request, endpoint, AttemptOutcome.TIMED_OUT, 0);
        attempt(request, endpoint, AttemptOutcome.FAILED, 0);
        Attempt first = request.firstPossibleRun();
        assertTrue(first != null && first.number() == 1);
    }

    @Test
    void aFailureRestrictsTheNextEndpoint() {
        assertTrue(request.mayUseAnyEndpoint());
        request.attemptEndedWithoutCompletion(endpoint, false);
        assertFalse(request.mayUseAnyEndpoint());
        assertTrue(request.wasTriedAt(endpoint));
        assertFalse(request.wasTriedAt(endpoint("other")));
        assertFalse(request.avoidsCanary());
        request.attemptEndedWithoutCompletion(endpoint, true);
        assertTrue(request.avoidsCanary());
    }

    @Test
    void aRequestIsDoneOnceAnsweredAndWithoutAttemptsInFlight() {
        Attempt attempt = send(request, endpoint, 0);
        request.finish();
        assertFalse(request.isDone());
        assertTrue(request.needsCancellation());
        request.cancellationRequested();
        assertFalse(request.needsCancellation(), "cancellation is requested only once");
        request.attemptEnded(ended(attempt, AttemptOutcome.CANCELLED, true));
        assertTrue(request.isDone());
    }
}
