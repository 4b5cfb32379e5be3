package laurelkeel.decision;

import static laurelkeel.decision.DecisionSimulation.MILLISECOND;
import static laurelkeel.decision.DecisionSimulation.SECOND;
import static laurelkeel.decision.DecisionSimulation.endpoint;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.Objects;
import java.util.Random;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Settings.PromotionPolicy;
import laurelkeel.api.WritePermission.Refusal;
import laurelkeel.decision.DecisionSimulation.SentAttempt;
import laurelkeel.partition.PartitionedDecider;
import org.junit.jupiter.api.Test;

/**
 * Guards against attempts that wait for a connection and are written although the endpoint would not be chosen any more, for
 * the decider of one rollout and of several.
 */
class WritePermissionTest {
    private static final int DEDUPLICATED = 1;

    private static List<DecisionSimulation> simulations() {
        var settings = DecisionSimulation.settings(false, 0, PromotionPolicy.VOTE_COUNT);
        List<DecisionSimulation> simulations = List.of(
                new DecisionSimulation(settings, 1),
                new DecisionSimulation(settings, new PartitionedDecider(settings, 1, RoutingDecider::new)));
        simulations.forEach(simulation -> simulation.start(4));
        return simulations;
    }

    private static SentAttempt attemptOf(DecisionSimulation simulation, String requestId) {
        return Objects.requireNonNull(simulation.inFlightOf(requestId), "no attempt in flight");
    }

    @Test
    void aRepeatIsRefusedWhenEndpointsForgetTheFirstAttempt() {
        for (DecisionSimulation simulation : simulations()) {
            String id = simulation.request(DEDUPLICATED, null);
            simulation.nowTicks += 1_850 * MILLISECOND;
            simulation.end(attemptOf(simulation, id), AttemptOutcome.FAILED);
            SentAttempt repeat = attemptOf(simulation, id);
            assertNull(simulation.refusalToWrite(repeat));
            simulation.nowTicks += 60 * MILLISECOND;
            assertEquals(Refusal.REPEAT_NOT_RECOGNIZED, simulation.refusalToWrite(repeat));
            assertEquals(List.of(), simulation.violations);
        }
    }

    @Test
    void anAttemptIsRefusedWhenItsEndpointDrainsOrRestarts() {
        for (DecisionSimulation simulation : simulations()) {
            for (boolean drains : List.of(true, false)) {
                SentAttempt attempt = attemptOf(simulation, simulation.request(0, null));
                assertNull(simulation.refusalToWrite(attempt));
                simulation.updateEndpoints(endpoint(
                        attempt.endpointId(),
                        1,
                        attempt.zone(),
                        drains ? EndpointState.DRAINING : EndpointState.ACTIVE,
                        drains ? 0 : simulation.nowTicks));
                assertEquals(Refusal.ENDPOINT_INACTIVE, simulation.refusalToWrite(attempt));
            }
        }
    }

    @Test
    void anAttemptIsRefusedWhenALaterBuildMayHaveServedItsKeyOrItsBuildIsRolledBack() {
        for (DecisionSimulation simulation : simulations()) {
            simulation.updateEndpoints(
                    endpoint("c0", 2, 0, EndpointState.ACTIVE, 0), endpoint("c1", 2, 1, EndpointState.ACTIVE, 0));
            simulation.updateRollout(2, 2, 1, RolloutPhase.CANARY);
            simulation.runTraffic(6 * SECOND, 10, 20 * MILLISECOND, 0, 0, new Random(1));
            simulation.updateRollout(2, 2, 0, RolloutPhase.CANARY);
            SentAttempt atStable = attemptOf(simulation, simulation.request(0, "key"));
            simulation.updateRollout(2, 2, 1, RolloutPhase.CANARY);
            SentAttempt atCanary = attemptOf(simulation, simulation.request(0, "key"));
            assertEquals(2, atCanary.build());
            assertNull(simulation.refusalToWrite(atCanary));
            assertEquals(Refusal.KEY_BOUND_TO_LATER_BUILD, simulation.refusalToWrite(atStable));
            simulation.updateRollout(2, 2, 0, RolloutPhase.ROLLING_BACK);
            assertEquals(Refusal.BUILD_NOT_SERVING, simulation.refusalToWrite(atCanary));
        }
    }
}
