package laurelkeel.bench;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointState;
import org.jspecify.annotations.Nullable;

/** The endpoint list of a generated event stream, in the order in which the endpoints were added. Not thread-safe. */
final class StreamEndpoints {
    private static final int ZONES = 3;
    private static final int ADDRESSES_PER_NETWORK = 250;

    private final Map<String, EndpointEntry> entriesById = new LinkedHashMap<>();

    StreamEndpoints(int endpoints, SplittableRandom random) {
        for (int i = 0; i < endpoints; i++) {
            String endpointId = "10.0." + i / ADDRESSES_PER_NETWORK + "." + i % ADDRESSES_PER_NETWORK + ":80";
            double weight = 0.8 + random.nextDouble() / 2;
            update(List.of(new EndpointEntry(endpointId, 1, i % ZONES, i % ZONES, 0, weight, EndpointState.ACTIVE, 0)));
        }
    }

    /** Adds endpoints or replaces their entries. */
    void update(List<EndpointEntry> changes) {
        changes.forEach(entry -> entriesById.put(entry.endpointId(), entry));
    }

    @Nullable
    EndpointEntry find(String endpointId) {
        return entriesById.get(endpointId);
    }

    /** Returns a copy of all entries, including those of removed endpoints. */
    List<EndpointEntry> entries() {
        return List.copyOf(entriesById.values());
    }

    List<EndpointEntry> activeEntries() {
        return entriesById.values().stream()
                .filter(entry -> entry.state() == EndpointState.ACTIVE)
                .toList();
    }

    /** Returns the entry of an endpoint that starts now and replaces another one. */
    static EndpointEntry replacement(EndpointEntry entry, String endpointId, int build, long nowTicks) {
        return new EndpointEntry(
                endpointId, build, entry.zone(), entry.cell(), 0, entry.weight(), EndpointState.ACTIVE, nowTicks);
    }
}
