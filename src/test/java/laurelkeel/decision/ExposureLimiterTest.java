package laurelkeel.decision;

import static laurelkeel.decision.DecisionFixtures.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import laurelkeel.api.Settings.PromotionPolicy;
import org.junit.jupiter.api.Test;

/** The settings have an allowance of two attempts and a window of four seconds. */
class ExposureLimiterTest {
    private static final int CANARY = 2;
    private static final double CAP = 0.5;
    private static final long MARGIN_TICKS = 60;
    private static final long WINDOW_TICKS = 4 * SECOND;

    private final ExposureLimiter limiter = limiter(false);

    private static ExposureLimiter limiter(boolean isPerRoute) {
        return new ExposureLimiter(
                DecisionSimulation.settings(isPerRoute, 0, PromotionPolicy.FIRST_VOTE)
                        .rollout(),
                3);
    }

    private static int sendAll(ExposureLimiter limiter, int route, boolean isSticky, long nowTicks) {
        int sent = 0;
        while (limiter.allows(CANARY, route, CAP, isSticky, nowTicks)) {
            limiter.attemptPlanned(CANARY, route, nowTicks);
            sent++;
        }
        return sent;
    }

    private static void receive(ExposureLimiter limiter, int requests, long nowTicks) {
        for (int i = 0; i < requests; i++) {
            limiter.requestReceived(0, nowTicks);
        }
    }

    @Test
    void limitsAttemptsToTheAllowanceAndAShareOfTheRequests() {
        assertEquals(2, sendAll(limiter, 0, true, 0));
        receive(limiter, 100, 0);
        assertEquals(50, sendAll(limiter, 0, true, 0));
    }

    @Test
    void reservesPartOfTheShareForStickyKeys() {
        receive(limiter, 100, 0);
        assertEquals(44, sendAll(limiter, 0, false, 0), "the allowance of 2 and 85% of 50");
        assertEquals(8, sendAll(limiter, 0, true, 0));
    }

    @Test
    void requestsLeaveTheWindowBeforeAttempts() {
        receive(limiter, 4, 0);
        assertEquals(4, sendAll(limiter, 0, true, 0));
        long requestsEndTicks = WINDOW_TICKS - MARGIN_TICKS;
        long attemptsEndTicks = WINDOW_TICKS + MARGIN_TICKS;
        receive(limiter, 2, requestsEndTicks);
        assertFalse(limiter.allows(CANARY, 0, CAP, true, requestsEndTicks + 1));
        assertFalse(limiter.allows(CANARY, 0, CAP, true, attemptsEndTicks));
        assertTrue(limiter.allows(CANARY, 0, CAP, true, attemptsEndTicks + 1));
    }

    @Test
    void countsByRouteOnlyIfTheSettingsSaySo() {
        ExposureLimiter perRoute = limiter(true);
        receive(perRoute, 100, 0);
        assertEquals(2, sendAll(perRoute, 1, true, 0));
        assertEquals(52, sendAll(perRoute, 0, true, 0));
        receive(limiter, 100, 0);
        assertEquals(52, sendAll(limiter, 1, true, 0));
        assertEquals(0, sendAll(limiter, 0, true, 0));
    }

    @Test
    void countsEachBuildSeparately() {
        assertEquals(2, sendAll(limiter, 0, true, 0));
        assertTrue(limiter.allows(CANARY + 1, 0, CAP, true, 0));
        limiter.removeExpired(WINDOW_TICKS);
        assertFalse(limiter.allows(CANARY, 0, CAP, true, WINDOW_TICKS), "its attempts are still in the window");
    }
}
