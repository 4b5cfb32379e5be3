package laurelkeel.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import laurelkeel.api.Event;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Ticks;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EndpointDirectoryTest {
    private static final long NOW = 50_000_000;
    private static final long LATER = NOW + 7 * Ticks.PER_SECOND;

    private final List<String> retired = new ArrayList<>();
    private final EndpointDirectory directory =
            new EndpointDirectory(List.of("a", "b"), List.of("m1", "m2"), new StartTimeTranslator(0), retired::add);

    private static DiscoveredEndpoint endpoint(String id, EndpointState state, int build) {
        String address = "10.0.0.1:5000";
        return new DiscoveredEndpoint(id, address, Ipv4Addresses.parse(address), "b", "m1", 0, state, 1, 0, build);
    }

    private static DiscoveredEndpointList list(long version, boolean complete, DiscoveredEndpoint... endpoints) {
        return new DiscoveredEndpointList(new DiscoveredListHeader(version, complete), List.of(endpoints));
    }

    /** Applies a list from the watch as {@link DiscoveryClient} does; returns null if it contains nothing new. */
    private Event.@Nullable EndpointListUpdate apply(DiscoveredEndpointList list, long nowTicks)
            throws StaleEndpointListException {
        return directory.acceptVersion(list.header(), nowTicks) ? directory.applyUpdate(list, nowTicks) : null;
    }

    @BeforeEach
    void applyFirstList() throws Exception {
        apply(list(5, true, endpoint("s-1", EndpointState.ACTIVE, 1), endpoint("s-2", EndpointState.ACTIVE, 1)), NOW);
    }

    @Test
    void aListBecomesAnEventOfItsKind() throws Exception {
        Event.EndpointListUpdate delta = apply(list(6, false, endpoint("s-1", EndpointState.DRAINING, 1)), NOW);
        assertNotNull(delta);
        assertEquals(EndpointListKind.DELTA, delta.kind());
        assertEquals(
                List.of(new Event.EndpointEntry("s-1", 1, 1, 0, 0, 1, EndpointState.DRAINING, 0)), delta.entries());
        Event.EndpointListUpdate snapshot = apply(list(7, true), NOW);
        assertNotNull(snapshot);
        assertEquals(EndpointListKind.SNAPSHOT, snapshot.kind());
        assertEquals(7, directory.version());
    }

    @Test
    void aCachedListIsMarkedAsSuch() throws Exception {
        Event.EndpointListUpdate cached = directory.applyCached(list(6, true), NOW);
        assertNotNull(cached);
        assertEquals(EndpointListKind.CACHED, cached.kind());
        assertTrue(directory.isEmpty());
    }

    @Test
    void knownChangesAreIgnored() throws Exception {
        assertNull(apply(list(5, false, endpoint("s-1", EndpointState.REMOVED, 1)), NOW));
        assertEquals(1, directory.buildUnchangedSince("s-1", NOW));
    }

    @Test
    void anOlderCompleteListIsAppliedOnlyAfterSixSeconds() throws Exception {
        DiscoveredEndpointList older = list(4, true, endpoint("s-1", EndpointState.ACTIVE, 1));
        assertThrows(StaleEndpointListException.class, () -> apply(older, NOW));
        assertThrows(StaleEndpointListException.class, () -> apply(older, NOW + 6 * Ticks.PER_SECOND - 1));
        assertEquals(5, directory.version());
        assertNotNull(apply(older, NOW + 6 * Ticks.PER_SECOND));
        assertEquals(4, directory.version());
    }

    /** Guards against new requests to an endpoint that is known to be draining, because an older list is followed. */
    @Test
    void anOlderListMakesNoDepartedEndpointActiveAgain() throws Exception {
        apply(list(8, true, endpoint("s-1", EndpointState.DRAINING, 1)), NOW);
        DiscoveredEndpoint restarted = endpoint("s-3", EndpointState.ACTIVE, 2);
        DiscoveredEndpoint first = endpoint("s-1", EndpointState.ACTIVE, 1);
        DiscoveredEndpointList older = list(4, true, first, endpoint("s-2", EndpointState.ACTIVE, 1), restarted);
        assertThrows(StaleEndpointListException.class, () -> apply(older, NOW));
        assertEquals(List.of(EndpointState.DRAINING, EndpointState.REMOVED, EndpointState.ACTIVE), states(older));
        assertEquals(List.of(EndpointState.DRAINING), states(list(7, false, first)), "still older than its departure");
        assertEquals(List.of(EndpointState.ACTIVE), states(list(8, false, endpoint("s-1", EndpointState.ACTIVE, 2))));
        apply(list(9, false, endpoint("s-2", EndpointState.REMOVED, 1)), LATER);
        assertEquals(List.of(EndpointState.ACTIVE), states(list(10, true, endpoint("s-2", EndpointState.ACTIVE, 1))));
    }

    /** Applies a list after the wait for older ones, and returns the states in the event for it. */
    private List<EndpointState> states(DiscoveredEndpointList list) throws Exception {
        Event.EndpointListUpdate update = apply(list, LATER);
        assertNotNull(update);
        return update.entries().stream().map(Event.EndpointEntry::state).toList();
    }

    @Test
    void aNewerListRestartsTheWaitForOlderOnes() throws Exception {
        DiscoveredEndpointList older = list(4, true);
        assertThrows(StaleEndpointListException.class, () -> apply(older, NOW));
        apply(list(6, false), NOW);
        assertThrows(StaleEndpointListException.class, () -> apply(older, LATER));
    }

    @Test
    void anAddressIsRetiredOnANewBuildARemovalOrAnOmission() throws Exception {
        String first = directory.addressOf("s-1").key();
        String second = directory.addressOf("s-2").key();
        apply(list(6, false, endpoint("s-1", EndpointState.ACTIVE, 2)), NOW);
        assertEquals(List.of(first), retired);
        assertNotEquals(first, directory.addressOf("s-1").key());
        apply(list(7, false, endpoint("s-2", EndpointState.REMOVED, 1)), NOW);
        assertEquals(List.of(first, second), retired);
        String third = directory.addressOf("s-1").key();
        apply(list(8, true), NOW);
        assertEquals(List.of(first, second, third), retired);
    }

    @Test
    void anUnlistedEndpointHasNoAddressAndNoBuild() {
        assertNull(directory.addressOf("other").socketAddress());
        assertEquals(EndpointDirectory.NO_BUILD, directory.buildUnchangedSince("other", NOW));
    }

    @Test
    void onlyAnUnchangedActiveEndpointHasABuild() throws Exception {
        apply(list(6, false, endpoint("s-1", EndpointState.ACTIVE, 1)), LATER);
        assertEquals(1, directory.buildUnchangedSince("s-1", NOW));
        apply(list(7, false, endpoint("s-1", EndpointState.ACTIVE, 2)), LATER);
        assertEquals(EndpointDirectory.NO_BUILD, directory.buildUnchangedSince("s-1", NOW));
        assertEquals(2, directory.buildUnchangedSince("s-1", LATER));
        apply(list(8, false, endpoint("s-1", EndpointState.DRAINING, 2)), LATER);
        assertEquals(EndpointDirectory.NO_BUILD, directory.buildUnchangedSince("s-1", LATER));
    }

    @Test
    void namesMissingFromTheSettingsAreIndexedAsTheyOccur() throws Exception {
        DiscoveredEndpoint other = new DiscoveredEndpoint("s-3", "", null, "c", "m9", 0, EndpointState.ACTIVE, 1, 0, 1);
        Event.EndpointListUpdate update = apply(list(6, false, other), NOW);
        assertNotNull(update);
        assertEquals(2, update.entries().get(0).zone());
        assertEquals(2, update.entries().get(0).kind());
    }
}
