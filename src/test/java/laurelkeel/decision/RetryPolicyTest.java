package laurelkeel.decision;

import static laurelkeel.decision.DecisionFixtures.DEDUPLICATION_WINDOW_TICKS;
import static laurelkeel.decision.DecisionFixtures.SECOND;
import static laurelkeel.decision.DecisionFixtures.attempt;
import static laurelkeel.decision.DecisionFixtures.endpoint;
import static laurelkeel.decision.DecisionFixtures.request;
import static laurelkeel.decision.DecisionFixtures.route;
import static laurelkeel.decision.DecisionFixtures.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Settings.DeduplicationScope;
import laurelkeel.api.Settings.Idempotency;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class RetryPolicyTest {
    private static final long MARGIN_TICKS = SECOND / 10;

    private final RetryPolicy policy = new RetryPolicy(3);
    private final Endpoint first = endpoint("first", 1, 0, 0);

    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void aRequestThatNeverRanMayBeRetriedAndRejected(Idempotency idempotency) {
        ActiveRequest request = request(idempotency);
        attempt(request, first, AttemptOutcome.OVERLOADED, 0);
        assertTrue(policy.mayAttempt(request, SECOND));
        assertTrue(policy.mayReject(request, SECOND));
    }

    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void noRequestHasMoreAttemptsThanAllowed(Idempotency idempotency) {
        ActiveRequest request = request(idempotency);
        for (int i = 0; i < 3; i++) {
            assertTrue(policy.mayAttempt(request, 0));
            attempt(request, first, AttemptOutcome.CONNECT_FAILED, 0);
        }
        assertFalse(policy.mayAttempt(request, 0));
    }

    @Test
    void retryOfARequestThatMayHaveRunDependsOnIdempotency() {
        for (Idempotency idempotency : Idempotency.values()) {
            ActiveRequest request = request(idempotency);
            attempt(request, first, AttemptOutcome.CONNECTION_LOST, 0);
            boolean isRepeatable = idempotency != Idempotency.NOT_IDEMPOTENT;
            assertEquals(isRepeatable, policy.mayAttempt(request, SECOND), idempotency.name());
            assertEquals(isRepeatable, policy.mayReject(request, SECOND), idempotency.name());
        }
    }

    @Test
    void aDeduplicatedRequestIsRepeatedWithAMarginBeforeTheEndOfItsWindow() {
        ActiveRequest request = request(Idempotency.DEDUPLICATED);
        attempt(request, first, AttemptOutcome.TIMED_OUT, 0);
        long lastTicks = DEDUPLICATION_WINDOW_TICKS - MARGIN_TICKS - 1;
        assertTrue(policy.mayAttempt(request, lastTicks));
        assertTrue(policy.mayReject(request, lastTicks));
        assertFalse(policy.mayAttempt(request, lastTicks + 1));
        assertFalse(policy.mayReject(request, lastTicks + 1));
    }

    @Test
    void repeatsGoToEndpointsInTheDeduplicationScope() {
        Endpoint sameZone = endpoint("zone", 1, 0, 1);
        Endpoint sameCell = endpoint("cell", 1, 0, 0);
        Endpoint elsewhere = endpoint("elsewhere", 1, 1, 2);
        for (DeduplicationScope scope : DeduplicationScope.values()) {
            ActiveRequest request = request(route(Idempotency.DEDUPLICATED, scope), "key");
            assertTrue(policy.isSafeForRetry(request, elsewhere), "no attempt may have run");
            attempt(request, first, AttemptOutcome.CONNECTION_LOST, 0);
            assertTrue(policy.isSafeForRetry(request, sameCell));
            assertEquals(scope != DeduplicationScope.CELL, policy.isSafeForRetry(request, sameZone), scope.name());
            assertEquals(scope == DeduplicationScope.ALL, policy.isSafeForRetry(request, elsewhere), scope.name());
            assertEquals(
                    scope == DeduplicationScope.ALL,
                    policy.mayReject(request, SECOND),
                    "the client may repeat the request through any node: " + scope);
        }
    }

    @Test
    void anAttemptInFlightCountsAsPossiblyRun() {
        ActiveRequest request = request(Idempotency.NOT_IDEMPOTENT);
        send(request, first, 0);
        assertFalse(policy.mayReject(request, 0));
    }

    @Test
    void theNextAttemptMayBeRetriedIfAnotherOneIsAllowed() {
        assertFalse(policy.mayRetryNext(request(Idempotency.NOT_IDEMPOTENT)));
        ActiveRequest request = request(Idempotency.IDEMPOTENT);
        attempt(request, first, AttemptOutcome.FAILED, 0);
        assertTrue(policy.mayRetryNext(request));
        attempt(request, first, AttemptOutcome.FAILED, 0);
        assertFalse(policy.mayRetryNext(request));
    }
}
