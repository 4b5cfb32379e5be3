package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Settings;
import laurelkeel.decision.DecisionSimulation.SentAttempt;
import org.junit.jupiter.api.Test;

/** Tests a node with far more endpoints than its traffic needs. */
class ManyEndpointsTest {
    private static final int ENDPOINTS = 1_000;
    private static final long LATENCY_TICKS = 20 * DecisionSimulation.MILLISECOND;

    private final DecisionSimulation simulation =
            new DecisionSimulation(DecisionSimulation.settings(false, 0, Settings.PromotionPolicy.VOTE_COUNT), 1);

    /** Runs requests one after the other, and returns the ids of the endpoints used. */
    private Set<String> usedEndpoints(int requests, long latencyTicks) {
        Set<String> endpointIds = new HashSet<>();
        for (int i = 0; i < requests; i++) {
            SentAttempt sent = simulation.inFlightOf(simulation.request(0, null));
            assertNotNull(sent);
            endpointIds.add(sent.endpointId());
            simulation.advance(latencyTicks);
            simulation.end(sent, AttemptOutcome.COMPLETED);
        }
        return endpointIds;
    }

    @Test
    void aNodeUsesNoMoreEndpointsThanItsTrafficNeeds() {
        simulation.start(ENDPOINTS);
        int used = usedEndpoints(600, LATENCY_TICKS).size();
        assertTrue(used <= 64, "used " + used);
        assertEquals(List.of(), simulation.violations);
    }

    @Test
    void aNodeUsesMoreEndpointsWhileAnswersAreDelayed() {
        simulation.start(ENDPOINTS);
        usedEndpoints(300, LATENCY_TICKS);
        int used = usedEndpoints(100, 12 * LATENCY_TICKS).size();
        assertTrue(used > 90, "used " + used);
    }

    @Test
    void aNodeUsesOtherEndpointsIfMostOfItsOwnFail() {
        simulation.start(ENDPOINTS);
        Set<String> failing = usedEndpoints(600, LATENCY_TICKS);
        int served = 0;
        int attempts = 0;
        for (int i = 0; i < 1_000; i++) {
            SentAttempt sent = simulation.inFlightOf(simulation.request(0, null));
            while (sent != null) {
                attempts++;
                simulation.advance(LATENCY_TICKS);
                boolean isFailing = failing.contains(sent.endpointId());
                served += isFailing ? 0 : 1;
                simulation.end(sent, isFailing ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.COMPLETED);
                sent = simulation.inFlightOf(sent.requestId());
            }
        }
        assertTrue(served > 850, "served " + served + " of 1,000 in " + attempts + " attempts");
        assertEquals(List.of(), simulation.violations);
    }
}
