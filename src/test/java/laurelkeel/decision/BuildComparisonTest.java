package laurelkeel.decision;

import static laurelkeel.decision.DecisionFixtures.SECOND;
import static laurelkeel.decision.DecisionFixtures.endpoint;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Settings;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class BuildComparisonTest {
    private static final int CANARY = 2;
    private static final int STABLE = 1;
    private static final int ROUTE = 1;
    private static final long NOW_TICKS = 30 * SECOND;

    private final Settings settings = DecisionSimulation.settings(false, 0, Settings.PromotionPolicy.FIRST_VOTE);
    private final OutcomeHistory own = new OutcomeHistory(settings.routes().size());
    private final OutcomeHistory allNodes = new OutcomeHistory(settings.routes().size());
    private final BuildComparison comparison = new BuildComparison(settings, own, allNodes);
    private final List<Endpoint> endpoints = List.of(endpoint("a", CANARY, 0, 0), endpoint("b", CANARY, 0, 0));

    private static BuildOutcomes outcomes(OutcomeHistory history, int build) {
        return history.bucketAt(NOW_TICKS).outcomes(build, ROUTE);
    }

    private @Nullable Regression find(boolean isBaselineServing) {
        return find(isBaselineServing, endpoints);
    }

    private @Nullable Regression find(boolean isBaselineServing, List<Endpoint> endpoints) {
        return comparison.findRegression(CANARY, STABLE, isBaselineServing, endpoints, NOW_TICKS);
    }

    @Test
    void findsHigherErrorRateOnARoute() {
        outcomes(own, STABLE).addAttempts(200, 1);
        outcomes(own, CANARY).addAttempts(50, 1);
        assertNull(find(true));
        outcomes(own, CANARY).addAttempts(50, 15);
        assertEquals(new Regression.HigherErrorRate(ROUTE), find(true));
    }

    @Test
    void countsOnlyRecoveredErrorsIfTheBaselineFailsToo() {
        outcomes(own, STABLE).addAttempts(200, 20);
        outcomes(own, CANARY).addAttempts(100, 50);
        assertNull(find(true));
        for (int i = 0; i < 40; i++) {
            outcomes(own, CANARY).addRecoveredFailure();
        }
        assertEquals(new Regression.HigherErrorRate(ROUTE), find(true));
    }

    @Test
    void countsOnlyRecoveredErrorsAfterTheRelease() {
        outcomes(own, STABLE).addAttempts(200, 0);
        outcomes(own, CANARY).addAttempts(100, 50);
        assertNull(find(false));
        for (int i = 0; i < 40; i++) {
            outcomes(own, CANARY).addRecoveredFailure();
        }
        assertEquals(new Regression.HigherErrorRate(ROUTE), find(false));
    }

    @Test
    void ignoresErrorsOfOneEndpointAmongSeveral() {
        outcomes(own, STABLE).addAttempts(200, 0);
        outcomes(own, CANARY).addAttempts(100, 30);
        for (int i = 0; i < 5; i++) {
            endpoints.get(0).health().record(AttemptOutcome.FAILED, false, 0);
            endpoints.get(1).health().record(AttemptOutcome.COMPLETED, false, 0);
        }
        assertNull(find(true));
        endpoints.get(1).health().record(AttemptOutcome.FAILED, false, 0);
        assertEquals(new Regression.HigherErrorRate(ROUTE), find(true));
    }

    @Test
    void usesOutcomesOfAllNodesIfThisOneHasFewAttemptsIncludingAnError() {
        outcomes(allNodes, STABLE).addAttempts(100, 0);
        outcomes(allNodes, CANARY).addAttempts(20, 15);
        outcomes(own, CANARY).addAttempts(5, 0);
        List<Endpoint> eight = IntStream.range(0, 8)
                .mapToObj(i -> endpoint("e" + i, CANARY, 0, 0))
                .toList();
        assertNull(find(true, eight), "the errors may be timeouts of endpoints that are warming up");
        outcomes(own, CANARY).addAttempts(1, 1);
        assertEquals(new Regression.HigherErrorRate(ROUTE), find(true, eight));
        assertNull(find(true), "the fault may be in one of only two endpoints");
        outcomes(own, CANARY).addAttempts(14, 0);
        assertNull(find(true, eight), "this node now has enough attempts of its own");
    }

    @Test
    void findsHigherComplaintRate() {
        outcomes(own, STABLE).addAttempts(200, 0);
        outcomes(own, CANARY).addAttempts(100, 0);
        for (int i = 0; i < 20; i++) {
            outcomes(own, CANARY).addComplaint();
        }
        assertEquals(new Regression.HigherComplaintRate(ROUTE), find(true));
    }

    @Test
    void findsHigherLatencyOnlyWhileTheBaselineServes() {
        for (int i = 0; i < 50; i++) {
            outcomes(own, STABLE).addLatencyRatio(1);
            outcomes(own, CANARY).addLatencyRatio(3);
            for (Endpoint endpoint : endpoints) {
                endpoint.latency().recordRatio(3);
                endpoint.latency().countWarmAnswer();
            }
        }
        assertEquals(new Regression.HigherLatency(3, 50, 1, 50), find(true));
        assertNull(find(false));
    }

    @Test
    void requiresMoreStandardErrorsTheMoreNodesThereArePerVote() {
        assertEquals(3, BuildComparison.requiredStandardErrors(1, 1), 1e-9);
        assertEquals(3, BuildComparison.requiredStandardErrors(2, 3), 1e-9);
        double withManyNodes = BuildComparison.requiredStandardErrors(100, 1);
        assertEquals(Math.sqrt(9 + 2 * Math.log(100)), withManyNodes, 1e-9);
        assertTrue(BuildComparison.requiredStandardErrors(100, 10) < withManyNodes);
    }
}
