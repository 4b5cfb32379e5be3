package laurelkeel.decision;

import static laurelkeel.decision.DecisionFixtures.SECOND;
import static laurelkeel.decision.DecisionFixtures.endpoint;
import static laurelkeel.decision.DecisionFixtures.send;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import laurelkeel.api.Event.RequestReceived;
import laurelkeel.api.Settings;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The routes of the settings have latency objectives of 800, 1,000 and 1,000 ms and priority weights of 2, 3 and 1. */
class AdmissionControllerTest {
    private static final long NOW_TICKS = 100 * SECOND;
    private static final int HIGHEST_VALUE = 1;
    private static final int LOWEST_VALUE = 2;
    private static final long UNLOADED_TICKS = 600;
    /** The slack of the route of the highest value: its latency objective minus 1.5 times the unloaded latency. */
    private static final double SLACK_TICKS = 9_100;
    /** The slack of the first route, which has the shortest latency objective. */
    private static final double SMALLEST_SLACK_TICKS = 7_100;

    private final Settings settings = DecisionSimulation.settings(false, 0, Settings.PromotionPolicy.FIRST_VOTE);
    private final LatencyModel latency = new LatencyModel(settings.routes());
    private final AdmissionController admission = new AdmissionController(settings, latency);
    private final Endpoint endpoint = endpoint("e");

    @BeforeEach
    void recordUnloadedLatencies() {
        for (int route = 0; route < settings.routes().size(); route++) {
            for (int i = 0; i < 100; i++) {
                latency.route(route).updateUnloaded(UNLOADED_TICKS);
            }
            latency.route(route).attemptStarted();
            latency.route(route).attemptStarted();
        }
    }

    private ActiveRequest request(int route) {
        RequestReceived received = new RequestReceived("r", route, 0, null, NOW_TICKS + SECOND, 0, false);
        return new ActiveRequest(received, settings.routes().get(route), 0.5, false, NOW_TICKS);
    }

    private void recordWaits(double waitTicks) {
        for (int i = 0; i < 2_000; i++) {
            latency.waits().recordWait(waitTicks, 100);
        }
    }

    private boolean admits(int route) {
        return admission.admits(request(route), endpoint, NOW_TICKS);
    }

    @Test
    void aRouteIsShedOnceTheWaitExceedsItsSlack() {
        recordWaits(SLACK_TICKS - 100);
        assertTrue(admits(HIGHEST_VALUE));
        recordWaits(SLACK_TICKS + 100);
        assertFalse(admits(HIGHEST_VALUE));
    }

    @Test
    void aRouteIsShedEarlierInFavorOfRoutesOfHigherValue() {
        recordWaits(0.7 * SMALLEST_SLACK_TICKS - 100);
        assertTrue(admits(LOWEST_VALUE));
        recordWaits(0.7 * SMALLEST_SLACK_TICKS + 100);
        assertFalse(admits(LOWEST_VALUE));
        assertTrue(admits(HIGHEST_VALUE));
    }

    @Test
    void aRouteWhoseAnswersAreAllLateIsShed() {
        for (int i = 0; i < 100; i++) {
            latency.route(HIGHEST_VALUE).recordRecent(2 * SECOND);
        }
        assertFalse(admits(HIGHEST_VALUE));
        assertTrue(admits(LOWEST_VALUE));
    }

    @Test
    void twoAttemptsOfARouteAreAlwaysAdmitted() {
        recordWaits(10 * SECOND);
        assertFalse(admits(HIGHEST_VALUE));
        latency.route(HIGHEST_VALUE).attemptEnded();
        assertTrue(admits(HIGHEST_VALUE));
    }

    @Test
    void anAttemptIsAbandonedIfTheWaitExceedsHalfTheSlack() {
        ActiveRequest request = request(HIGHEST_VALUE);
        Attempt attempt = send(request, endpoint, NOW_TICKS);
        recordWaits(SLACK_TICKS / 2 - 100);
        assertFalse(admission.shouldAbandon(request, attempt, NOW_TICKS));
        recordWaits(SLACK_TICKS / 2 + 100);
        assertTrue(admission.shouldAbandon(request, attempt, NOW_TICKS));
    }

    @Test
    void attemptsCountAsQueueingAboveATenthOfTheSmallestSlack() {
        recordWaits(0.1 * SMALLEST_SLACK_TICKS - 50);
        assertFalse(admission.areAttemptsQueueing());
        recordWaits(0.1 * SMALLEST_SLACK_TICKS + 50);
        assertTrue(admission.areAttemptsQueueing());
    }
}
