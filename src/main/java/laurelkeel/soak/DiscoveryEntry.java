package laurelkeel.soak;

import java.util.Locale;

/**
 * One endpoint of the endpoint list.
 *
 * @param startedMillis when the endpoint started, in milliseconds since 1970; 0 means long ago
 */
record DiscoveryEntry(String id, String address, State state, long startedMillis, int build) {
    /** The state of an endpoint, which tells nodes whether they may send it new attempts. */
    enum State {
        ACTIVE,
        LEAVING,
        /** Removed from the endpoint list; published once, with the change that removes it. */
        LEFT
    }

    /** Returns the entry in the JSON format of the discovery protocol. */
    String json() {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + address
                + "\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":0,\"state\":\""
                + state.name().toLowerCase(Locale.ROOT) + "\",\"weight\":1.0,\"started_ms\":" + startedMillis
                + ",\"revision_no\":" + build + "}";
    }

    /** Returns the same endpoint in another state. */
    DiscoveryEntry withState(State newState) {
        return new DiscoveryEntry(id, address, newState, startedMillis, build);
    }
}
