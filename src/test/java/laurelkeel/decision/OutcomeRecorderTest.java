package laurelkeel.decision;

import static laurelkeel.decision.DecisionFixtures.SECOND;
import static laurelkeel.decision.DecisionFixtures.endpoint;
import static laurelkeel.decision.DecisionFixtures.endpointStartedAt;
import static laurelkeel.decision.DecisionFixtures.request;
import static laurelkeel.decision.DecisionFixtures.route;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import laurelkeel.api.Event.AttemptEnded;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.LoadReport;
import laurelkeel.api.Settings;
import laurelkeel.api.Settings.Idempotency;
import org.junit.jupiter.api.Test;

class OutcomeRecorderTest {
    private static final int BUILD = 1;
    private static final long NOW_TICKS = SECOND;
    private static final long EXPECTED_TICKS = 100;

    private final Settings settings = DecisionSimulation.settings(false, 0, Settings.PromotionPolicy.FIRST_VOTE);
    private final LatencyModel latencies = new LatencyModel(List.of(route(Idempotency.IDEMPOTENT)));
    private final OutcomeHistory history = new OutcomeHistory(1);
    private final OutcomeRecorder recorder = new OutcomeRecorder(
            new RolloutState(settings.rollout()),
            new SlowStart(settings.limits()),
            latencies,
            new OwnThroughput(1),
            history);
    private final Endpoint endpoint = endpoint("e");

    private void end(ActiveRequest request, Attempt attempt, AttemptOutcome outcome, long durationTicks) {
        AttemptEnded event = new AttemptEnded("r", 0, "e", outcome, durationTicks, false, LoadReport.NONE);
        recorder.attemptEnded(request, attempt, event, NOW_TICKS);
    }

    private void end(AttemptOutcome outcome) {
        end(request(Idempotency.IDEMPOTENT), attempt(endpoint, true), outcome, EXPECTED_TICKS);
    }

    private static Attempt attempt(Endpoint endpoint, boolean isSettled) {
        return new Attempt(0, endpoint, 0, isSettled, 1, 0);
    }

    private BuildOutcomes countedOutcomes() {
        return history.total(BUILD).overall();
    }

    @Test
    void countsAnswersErrorsAndTimeoutsForTheBuild() {
        for (AttemptOutcome outcome : AttemptOutcome.values()) {
            end(outcome);
            end(AttemptOutcome.COMPLETED);
        }
        assertEquals(AttemptOutcome.values().length + 3, countedOutcomes().attempts());
        assertEquals(1, countedOutcomes().failures());
    }

    @Test
    void countsARecoveredErrorForTheBuildThatFailed() {
        ActiveRequest request = request(Idempotency.IDEMPOTENT);
        end(request, attempt(endpoint, true), AttemptOutcome.FAILED, EXPECTED_TICKS);
        assertEquals(0, countedOutcomes().recoveredFailures());
        end(request, attempt(endpoint("other", 2, 0, 0), true), AttemptOutcome.COMPLETED, EXPECTED_TICKS);
        assertEquals(1, countedOutcomes().recoveredFailures());
    }

    @Test
    void ignoresEndpointsThatJustStartedAndSuspects() {
        end(request(Idempotency.IDEMPOTENT), attempt(endpoint, false), AttemptOutcome.FAILED, EXPECTED_TICKS);
        endpoint.health().setErrorOutlier(true);
        end(AttemptOutcome.FAILED);
        assertEquals(0, countedOutcomes().attempts());
    }

    @Test
    void recordsLatencyRatiosOnceTheExpectedLatencyIsKnown() {
        for (int i = 0; i < 8; i++) {
            end(AttemptOutcome.COMPLETED);
        }
        assertEquals(0, countedOutcomes().latencySampleCount());
        end(request(Idempotency.IDEMPOTENT), attempt(endpoint, true), AttemptOutcome.COMPLETED, 3 * EXPECTED_TICKS);
        assertEquals(1, countedOutcomes().latencySampleCount());
        assertEquals(3, countedOutcomes().meanLatencyRatio(), 1e-9);
        assertTrue(endpoint.latency().meanRatioToExpected() > 1);
    }

    @Test
    void recordsNoLatencyRatiosOfEndpointsThatAreWarmingUp() {
        for (int i = 0; i < 8; i++) {
            end(AttemptOutcome.COMPLETED);
        }
        Endpoint cold = endpointStartedAt(1);
        end(request(Idempotency.IDEMPOTENT), attempt(cold, false), AttemptOutcome.COMPLETED, 3 * EXPECTED_TICKS);
        assertEquals(0, countedOutcomes().latencySampleCount());
        assertEquals(0, cold.latency().warmAnswerCount());
    }

    @Test
    void countsRequestsAndAttemptsAsLoad() {
        recorder.requestReceived(request(Idempotency.IDEMPOTENT), NOW_TICKS);
        recorder.attemptPlanned(endpoint, NOW_TICKS);
        OutcomeBucket bucket = history.bucketAt(NOW_TICKS);
        assertEquals(1, bucket.requestsReceived());
        assertEquals(1, bucket.attemptsSent());
        assertEquals(0, bucket.attemptsSentToEvaluatedBuild(), "no build is evaluated without a rollout");
        assertFalse(bucket.hasOutcomesOf(BUILD));
    }
}
