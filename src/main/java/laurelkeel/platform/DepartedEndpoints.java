package laurelkeel.platform;

import java.util.LinkedHashMap;
import java.util.Map;
import laurelkeel.api.Event.EndpointState;

/**
 * The endpoints that discovery has listed as draining or removed, each with the version of the list that said so. A list of an
 * earlier version that has them active was made before: a discovery instance that lags behind may send it at any time.
 *
 * <p>Not thread-safe; called on the event loop's thread, or before that thread has started.
 */
final class DepartedEndpoints {
    /** Several times the endpoints that are replaced while an instance may lag behind. */
    private static final int MAX_ENDPOINTS = 4_096;

    /**
     * The departure of one run of an endpoint, which another start or another build distinguishes from later ones.
     *
     * @param version the version of the list that showed it
     */
    private record Departure(int build, long startedAtUnixMillis, EndpointState state, long version) {
        boolean isLaterThan(long listVersion, int listedBuild, long listedStart) {
            return listVersion < version && listedBuild == build && listedStart == startedAtUnixMillis;
        }
    }

    /** The departures by endpoint id, oldest first. */
    private final Map<String, Departure> departures = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Departure> eldest) {
            return size() > MAX_ENDPOINTS;
        }
    };

    /** Records the state in which a list shows an endpoint; a list that does not show it any more has it removed. */
    void record(String endpointId, int build, long startedAtUnixMillis, EndpointState state, long version) {
        Departure known = departures.get(endpointId);
        if (known != null && known.isLaterThan(version, build, startedAtUnixMillis)) {
            return;
        }
        departures.remove(endpointId);
        if (state != EndpointState.ACTIVE) {
            departures.put(endpointId, new Departure(build, startedAtUnixMillis, state, version));
        }
    }

    /**
     * Returns the state of an endpoint that a list shows: the listed one, unless a later version of the list has shown this run of
     * the endpoint as draining or removed.
     */
    EndpointState stateOf(DiscoveredEndpoint listed, long version) {
        Departure known = departures.get(listed.id());
        if (known == null || listed.state() != EndpointState.ACTIVE) {
            return listed.state();
        }
        return known.isLaterThan(version, listed.build(), listed.startedAtUnixMillis()) ? known.state : listed.state();
    }
}
