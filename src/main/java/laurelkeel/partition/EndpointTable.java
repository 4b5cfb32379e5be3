package laurelkeel.partition;

import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointListUpdate;
import laurelkeel.api.Event.EndpointState;

/** The endpoints of all builds, as of the latest updates of the endpoint list. Not thread-safe. */
final class EndpointTable {
    private final Map<String, EndpointEntry> entries = new LinkedHashMap<>();

    void apply(EndpointListUpdate update) {
        if (update.kind() == EndpointListKind.SNAPSHOT || update.kind() == EndpointListKind.CACHED) {
            Set<String> listedIds = new HashSet<>();
            update.entries().forEach(entry -> listedIds.add(entry.endpointId()));
            entries.keySet().retainAll(listedIds);
        }
        for (EndpointEntry entry : update.entries()) {
            if (entry.state() == EndpointState.REMOVED) {
                entries.remove(entry.endpointId());
            } else {
                entries.put(entry.endpointId(), entry);
            }
        }
    }

    /** Returns all endpoints that are not removed, in the order in which the endpoint list first named them. */
    Collection<EndpointEntry> all() {
        return Collections.unmodifiableCollection(entries.values());
    }

    /** Returns the build that an endpoint runs, or {@link ConcurrentRollouts#NO_BUILD} if the endpoint is unknown. */
    int buildOf(String endpointId) {
        EndpointEntry entry = entries.get(endpointId);
        return entry == null ? ConcurrentRollouts.NO_BUILD : entry.build();
    }

    /** Returns the total weight of the active endpoints of a build. */
    double activeWeight(int build) {
        return entries.values().stream()
                .filter(entry -> entry.build() == build && entry.state() == EndpointState.ACTIVE)
                .mapToDouble(EndpointEntry::weight)
                .sum();
    }

    /** Returns the total weight of the active endpoints of each build. */
    SortedMap<Integer, Double> activeWeights() {
        SortedMap<Integer, Double> weights = new TreeMap<>();
        for (EndpointEntry entry : entries.values()) {
            if (entry.state() == EndpointState.ACTIVE) {
                weights.merge(entry.build(), entry.weight(), Double::sum);
            }
        }
        return weights;
    }
}
