package laurelkeel.decision;

import static laurelkeel.decision.DecisionFixtures.endpoint;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Settings.PromotionPolicy;
import org.junit.jupiter.api.Test;

class BuildEndpointsTest {
    private static BuildEndpoints pool(int size) {
        List<Endpoint> endpoints =
                IntStream.range(0, size).mapToObj(i -> endpoint("e" + i)).toList();
        BuildEndpoints pool = new BuildEndpoints(endpoints);
        pool.reselect(new EndpointSubset(0, 1));
        return pool;
    }

    @Test
    void usesASubsetOfManyEndpoints() {
        BuildEndpoints pool = pool(200);
        assertEquals(EndpointSubset.MIN_SIZE, pool.subset().length);
        assertEquals(200, pool.all().length);
        assertEquals(
                EndpointSubset.MIN_SIZE,
                pool.endpoints().stream().filter(Endpoint::isInSubset).count());
    }

    @Test
    void needsReselectionIfMoreThanAnEighthOfTheSubsetIsSuspect() {
        BuildEndpoints pool = pool(200);
        int[] subset = pool.subset();
        for (int i = 0; i < subset.length / 8; i++) {
            fail(pool.endpoint(subset[i]));
        }
        assertFalse(pool.needsReselection());
        fail(pool.endpoint(subset[subset.length / 8]));
        assertTrue(pool.needsReselection());
        pool.reselect(new EndpointSubset(0, 1));
        assertFalse(pool.needsReselection());
    }

    private static void fail(Endpoint endpoint) {
        endpoint.health().record(AttemptOutcome.CONNECT_FAILED, false, 0);
        endpoint.health().record(AttemptOutcome.CONNECT_FAILED, false, 0);
    }

    @Test
    void endpointInvalidatesEligibilityOfItsPool() {
        BuildEndpoints pool = pool(3);
        pool.setAllEligible(true);
        pool.endpoint(1).eligibilityChanged();
        assertFalse(pool.areAllEligible());
    }

    @Test
    void storesCreditsForTheNextPool() {
        Endpoint first = endpoint("a");
        Endpoint second = endpoint("b");
        first.setCredit(0.25);
        BuildEndpoints pool = new BuildEndpoints(List.of(first, second));
        SlowStart slowStart = new SlowStart(DecisionSimulation.settings(false, 0, PromotionPolicy.FIRST_VOTE)
                .limits());
        first.updateWeight(slowStart, 0);
        second.updateWeight(slowStart, 0);
        assertEquals("a", pool.endpoint(pool.rotation().next(pool.all(), 2)).id());
        pool.saveCredits();
        assertEquals(0.25 + 1 - 2, first.credit(), 1e-9);
        assertEquals(1, second.credit(), 1e-9);
    }
}
