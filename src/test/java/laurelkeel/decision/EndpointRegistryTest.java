package laurelkeel.decision;

import static laurelkeel.decision.DecisionFixtures.SECOND;
import static laurelkeel.decision.DecisionFixtures.entry;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointListUpdate;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Settings;
import org.junit.jupiter.api.Test;

class EndpointRegistryTest {
    private static final long NOW_TICKS = 100 * SECOND;

    private final Settings settings = DecisionSimulation.settings(false, 0, Settings.PromotionPolicy.FIRST_VOTE);
    private final EndpointRegistry registry =
            new EndpointRegistry(settings, new SeededRandom(1), new SlowStart(settings.limits()));

    private void update(EndpointListKind kind, EndpointEntry... entries) {
        registry.apply(new EndpointListUpdate(kind, List.of(entries)), NOW_TICKS);
    }

    private List<String> activeIds(int build) {
        return registry.activeEndpoints(build).stream().map(Endpoint::id).toList();
    }

    @Test
    void endpointsArePooledByBuild() {
        update(EndpointListKind.DELTA, entry("b", 1, 0, 0, 0), entry("a", 1, 0, 0, 0), entry("c", 2, 0, 0, 0));
        assertEquals(List.of("a", "b"), activeIds(1));
        assertEquals(List.of("c"), activeIds(2));
        assertEquals(2, registry.newestActiveBuild());
        assertEquals(3, registry.activeCapacity());
        assertNull(registry.pool(3));
    }

    @Test
    void aDeltaChangesOnlyTheEndpointsThatItContains() {
        update(EndpointListKind.DELTA, entry("a", 1, 0, 0, 0), entry("b", 1, 0, 0, 0));
        update(EndpointListKind.DELTA, new EndpointEntry("b", 1, 0, 0, 0, 1, EndpointState.DRAINING, 0));
        assertEquals(List.of("a"), activeIds(1));
    }

    @Test
    void endpointsMissingFromASnapshotAreRemoved() {
        update(EndpointListKind.DELTA, entry("a", 1, 0, 0, 0), entry("b", 1, 0, 0, 0));
        update(EndpointListKind.SNAPSHOT, entry("b", 1, 0, 0, 0));
        assertEquals(List.of("b"), activeIds(1));
        assertNull(registry.find("a"));
    }

    @Test
    void anEndpointWithAttemptsInFlightIsRetainedUntilTheyEnd() {
        update(EndpointListKind.DELTA, entry("a", 1, 0, 0, 0), entry("b", 1, 0, 0, 0));
        Endpoint endpoint = registry.activeEndpoints(1).get(0);
        endpoint.attemptStarted();
        update(EndpointListKind.SNAPSHOT, entry("b", 1, 0, 0, 0));
        assertSame(endpoint, registry.find("a"));
        endpoint.attemptEnded();
        update(EndpointListKind.SNAPSHOT, entry("b", 1, 0, 0, 0));
        assertNull(registry.find("a"));
    }

    @Test
    void anIdWithANewStartTimeIsAnotherEndpoint() {
        update(EndpointListKind.DELTA, entry("a", 1, 0, 0, 0));
        Endpoint before = registry.find("a");
        update(EndpointListKind.DELTA, entry("a", 1, 0, 0, 0));
        assertSame(before, registry.find("a"));
        update(EndpointListKind.DELTA, entry("a", 1, 0, 0, NOW_TICKS));
        assertNotSame(before, registry.find("a"));
    }

    @Test
    void currentCapacityGrowsWhileEndpointsWarmUp() {
        update(EndpointListKind.DELTA, entry("a", 1, 0, 0, 0), entry("b", 1, 0, 0, NOW_TICKS));
        assertEquals(1.4, registry.currentCapacity(1, NOW_TICKS), 1e-9);
        assertEquals(2, registry.currentCapacity(1, NOW_TICKS + 5 * SECOND), 1e-9);
        assertEquals(0, registry.currentCapacity(2, NOW_TICKS));
    }

    @Test
    void endpointsOfOtherZonesAreNotLocal() {
        update(EndpointListKind.DELTA, entry("a", 1, 0, 0, 0), entry("b", 1, 1, 0, 0));
        List<Endpoint> endpoints = registry.activeEndpoints(1);
        assertTrue(endpoints.get(0).isLocal());
        assertTrue(!endpoints.get(1).isLocal());
    }
}
