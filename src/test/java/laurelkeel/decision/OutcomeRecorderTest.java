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
    private static final long USUAL_TICKS = 100;

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
        end(request(Idempotency.IDEMPOTENT), attempt(endpoint, true), outcome, USUAL_TICKS);
    }

    private static Attempt attempt(Endpoint endpoint, boolean isSettled) {
        return new Attempt(0, endpoint, 0, isSettled, 1, 0);
    }

    private BuildOutcomes counted() {
        return history.total(BUILD).overall();
    }

    @Test
    void answersErrorsAndTimeoutsCountForTheBuild() {
        for (AttemptOutcome outcome : AttemptOutcome.values()) {
            end(outcome);
            end(AttemptOutcome.COMPLETED);
        }
        assertEquals(AttemptOutcome.values().length + 3, counted().attempts());
        assertEquals(1, counted().failures());
    }

    @Test
    void anErrorThatAnotherAttemptRecoversIsCountedWhereItHappened() {
        ActiveRequest request = request(Idempotency.IDEMPOTENT);
        end(request, attempt(endpoint, true), AttemptOutcome.FAILED, USUAL_TICKS);
        assertEquals(0, counted().recoveredFailures());
        end(request, attempt(endpoint("other", 2, 0, 0), true), AttemptOutcome.COMPLETED, USUAL_TICKS);
        assertEquals(1, counted().recoveredFailures());
    }

    @Test
    void endpointsThatJustStartedAndSuspectsSpeakForNoBuild() {
        end(request(Idempotency.IDEMPOTENT), attempt(endpoint, false), AttemptOutcome.FAILED, USUAL_TICKS);
        endpoint.health().setErrorOutlier(true);
        end(AttemptOutcome.FAILED);
        assertEquals(0, counted().attempts());
    }

    @Test
    void latencyIsRatedOnceTheUsualOneIsKnown() {
        for (int i = 0; i < 8; i++) {
            end(AttemptOutcome.COMPLETED);
        }
        assertEquals(0, counted().latencySampleCount());
        end(request(Idempotency.IDEMPOTENT), attempt(endpoint, true), AttemptOutcome.COMPLETED, 3 * USUAL_TICKS);
        assertEquals(1, counted().latencySampleCount());
        assertEquals(3, counted().meanLatencyRatio(), 1e-9);
        assertTrue(endpoint.latency().meanRatioToExpected() > 1);
    }

    @Test
    void endpointsThatWarmUpAreNotRatedForTheirBuild() {
        for (int i = 0; i < 8; i++) {
            end(AttemptOutcome.COMPLETED);
        }
        Endpoint cold = endpointStartedAt(1);
        end(request(Idempotency.IDEMPOTENT), attempt(cold, false), AttemptOutcome.COMPLETED, 3 * USUAL_TICKS);
        assertEquals(0, counted().latencySampleCount());
        assertEquals(0, cold.latency().warmAnswerCount());
    }

    @Test
    void requestsAndAttemptsCountAsLoad() {
        recorder.requestReceived(request(Idempotency.IDEMPOTENT), NOW_TICKS);
        recorder.attemptPlanned(endpoint, NOW_TICKS);
        OutcomeSecond second = history.secondOf(NOW_TICKS);
        assertEquals(1, second.requestsReceived());
        assertEquals(1, second.attemptsSent());
        assertEquals(0, second.attemptsSentToJudgedBuild(), "there is no rollout");
        assertFalse(second.hasSeen(BUILD));
    }
}
