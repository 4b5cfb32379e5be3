package laurelkeel.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointListUpdate;
import laurelkeel.api.Event.EndpointState;
import org.junit.jupiter.api.Test;

class EndpointTableTest {
    private final EndpointTable table = new EndpointTable();

    static EndpointEntry endpoint(String id, int build, double weight, EndpointState state) {
        return new EndpointEntry(id, build, 0, 0, 0, weight, state, 0);
    }

    static EndpointEntry endpoint(String id, int build) {
        return endpoint(id, build, 1, EndpointState.ACTIVE);
    }

    private void apply(EndpointListKind kind, EndpointEntry... entries) {
        table.apply(new EndpointListUpdate(kind, List.of(entries)));
    }

    private List<String> ids() {
        return table.all().stream().map(EndpointEntry::endpointId).toList();
    }

    @Test
    void aDeltaChangesOnlyEndpointsThatItNames() {
        apply(EndpointListKind.SNAPSHOT, endpoint("a", 1), endpoint("b", 1));
        apply(EndpointListKind.DELTA, endpoint("b", 1, 1, EndpointState.REMOVED), endpoint("c", 2));
        assertEquals(List.of("a", "c"), ids());
    }

    @Test
    void aFullListRemovesEndpointsThatItDoesNotName() {
        for (EndpointListKind kind : List.of(EndpointListKind.SNAPSHOT, EndpointListKind.CACHED)) {
            apply(EndpointListKind.DELTA, endpoint("a", 1), endpoint("b", 1));
            apply(kind, endpoint("b", 2));
            assertEquals(List.of("b"), ids());
            assertEquals(2, table.buildOf("b"));
        }
        assertEquals(ConcurrentRollouts.NO_BUILD, table.buildOf("a"));
    }

    @Test
    void aFailedFetchLeavesTheListUnchanged() {
        apply(EndpointListKind.SNAPSHOT, endpoint("a", 1));
        apply(EndpointListKind.FAILED);
        assertEquals(List.of("a"), ids());
    }

    @Test
    void onlyActiveEndpointsHaveWeight() {
        apply(
                EndpointListKind.SNAPSHOT,
                endpoint("a", 1, 2, EndpointState.ACTIVE),
                endpoint("b", 1, 0.5, EndpointState.ACTIVE),
                endpoint("c", 1, 4, EndpointState.DRAINING),
                endpoint("d", 3, 1, EndpointState.ACTIVE));
        assertEquals(2.5, table.activeWeight(1));
        assertEquals(Map.of(1, 2.5, 3, 1.0), table.activeWeights());
    }
}
