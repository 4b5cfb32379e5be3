package laurelkeel.decision;

import static laurelkeel.decision.DecisionFixtures.SECOND;
import static laurelkeel.decision.DecisionFixtures.endpointStartedAt;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import laurelkeel.api.Settings.Limits;
import org.junit.jupiter.api.Test;

class SlowStartTest {
    private static final long STARTED_AT_TICKS = 100 * SECOND;
    private static final long WARM_UP_TICKS = 5 * SECOND;
    private static final long WINDOW_TICKS = 2 * SECOND;

    private final SlowStart slowStart =
            new SlowStart(new Limits(SECOND, WARM_UP_TICKS, 0.4, WINDOW_TICKS, 3, 10 * SECOND));

    @Test
    void capacityRisesLinearlyFromTheInitialShare() {
        assertEquals(0.4, slowStart.capacityShare(STARTED_AT_TICKS, STARTED_AT_TICKS), 1e-9);
        assertEquals(0.7, slowStart.capacityShare(STARTED_AT_TICKS, STARTED_AT_TICKS + WARM_UP_TICKS / 2), 1e-9);
        assertEquals(1, slowStart.capacityShare(STARTED_AT_TICKS, STARTED_AT_TICKS + 2 * WARM_UP_TICKS), 1e-9);
        assertEquals(1, slowStart.capacityShare(0, 1), "an endpoint that started long ago is warm");
        assertEquals(0.4, slowStart.capacityShare(STARTED_AT_TICKS, 1), 1e-9, "a start time in the future");
    }

    @Test
    void theBudgetAppliesOneSecondLongerThanTheWarmUp() {
        long warmAtTicks = STARTED_AT_TICKS + WARM_UP_TICKS;
        assertFalse(slowStart.isWarm(STARTED_AT_TICKS, warmAtTicks - 1));
        assertTrue(slowStart.isWarm(STARTED_AT_TICKS, warmAtTicks));
        assertFalse(slowStart.isUnlimited(STARTED_AT_TICKS, warmAtTicks + SECOND - 1));
        assertTrue(slowStart.isUnlimited(STARTED_AT_TICKS, warmAtTicks + SECOND));
        assertTrue(slowStart.isUnlimited(0, 1));
    }

    @Test
    void anEndpointReceivesAShareOfItsOverloadLimitWithinTheWindow() {
        Endpoint endpoint = endpointStartedAt(STARTED_AT_TICKS);
        OwnThroughput throughput = new OwnThroughput(50);
        throughput.observeCapacity(5);
        long nowTicks = STARTED_AT_TICKS;
        int sent = 0;
        while (!slowStart.isBudgetExhausted(endpoint, throughput, nowTicks)) {
            endpoint.warmUpBudget().attemptPlanned(nowTicks);
            sent++;
        }
        // 20 answers are expected in the window; the limit is 0.7 of three times 0.4 of them
        assertEquals(16, sent);
        assertFalse(slowStart.isBudgetExhausted(endpoint, throughput, nowTicks + WINDOW_TICKS + 1));
    }

    @Test
    void aWarmEndpointHasNoBudget() {
        OwnThroughput idle = new OwnThroughput(0);
        assertTrue(slowStart.isBudgetExhausted(endpointStartedAt(STARTED_AT_TICKS), idle, STARTED_AT_TICKS));
        assertFalse(slowStart.isBudgetExhausted(endpointStartedAt(0), idle, STARTED_AT_TICKS));
    }
}
