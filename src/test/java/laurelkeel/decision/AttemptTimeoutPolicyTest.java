package laurelkeel.decision;

import static laurelkeel.decision.DecisionFixtures.OBJECTIVE_TICKS;
import static laurelkeel.decision.DecisionFixtures.attempt;
import static laurelkeel.decision.DecisionFixtures.endpoint;
import static laurelkeel.decision.DecisionFixtures.request;
import static laurelkeel.decision.DecisionFixtures.route;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Settings.Idempotency;
import org.junit.jupiter.api.Test;

class AttemptTimeoutPolicyTest {
    private final LatencyModel latency = new LatencyModel(List.of(route(Idempotency.IDEMPOTENT)));
    private final RetryBudget budget = new RetryBudget();
    private final AttemptTimeoutPolicy policy = new AttemptTimeoutPolicy(latency, new RetryPolicy(2), budget);

    private void recordAnswers(long durationTicks, double deviation) {
        for (int i = 0; i < 500; i++) {
            latency.route(0).updateExpected(durationTicks, 0);
            latency.route(0).recordDeviation(1 + deviation);
        }
    }

    private long timeoutTicks(ActiveRequest request) {
        return policy.timeoutTicks(request, 1, 0);
    }

    @Test
    void anAttemptTimesOutSixMeanDeviationsAfterTheExpectedLatency() {
        recordAnswers(2_000, 0.2);
        assertEquals(2_000 * (1 + 6 * 0.2), (double) timeoutTicks(request(Idempotency.IDEMPOTENT)), 10);
    }

    @Test
    void theTimeoutIsAtLeast35PercentOfTheObjective() {
        recordAnswers(100, 0.1);
        assertEquals(0.35 * OBJECTIVE_TICKS, (double) timeoutTicks(request(Idempotency.IDEMPOTENT)), 1);
    }

    @Test
    void theTimeoutIsNotShortenedIfARetryWouldMissTheObjective() {
        recordAnswers(2_000, 0.6);
        ActiveRequest request = request(Idempotency.IDEMPOTENT);
        assertEquals(request.answerDueAtTicks(), timeoutTicks(request));
    }

    @Test
    void theTimeoutIsNotShortenedIfNoRetryIsAllowed() {
        recordAnswers(2_000, 0.2);
        ActiveRequest request = request(Idempotency.NOT_IDEMPOTENT);
        assertEquals(request.answerDueAtTicks(), timeoutTicks(request));
        ActiveRequest last = request(Idempotency.IDEMPOTENT);
        attempt(last, endpoint("e"), AttemptOutcome.FAILED, 0);
        assertEquals(last.answerDueAtTicks(), timeoutTicks(last));
    }

    @Test
    void theTimeoutIsNotShortenedIfTheRetryBudgetIsNearlyExhausted() {
        recordAnswers(2_000, 0.2);
        for (int i = 0; i < 9; i++) {
            budget.spend();
        }
        ActiveRequest request = request(Idempotency.IDEMPOTENT);
        assertEquals(request.answerDueAtTicks(), timeoutTicks(request));
    }
}
