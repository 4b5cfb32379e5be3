package laurelkeel.soak;

import java.util.Locale;

/**
 * One endpoint of the endpoint list.
 *
 * @param startedMillis when the endpoint started, in milliseconds since 1970; 0 for long ago
 */
record DiscoveryEntry(String id, String address, State state, long startedMillis, int build) {
    /** Whether an endpoint takes requests. */
    enum State {
        ACTIVE,
        LEAVING,
        /** It is listed no more; this is published once. */
        LEFT
    }

    /** The entry in discovery's form. */
    String json() {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + address
                + "\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":0,\"state\":\""
                + state.name().toLowerCase(Locale.ROOT) + "\",\"weight\":1.0,\"started_ms\":" + startedMillis
                + ",\"revision_no\":" + build + "}";
    }

    /** The same endpoint in another state. */
    DiscoveryEntry withState(State newState) {
        return new DiscoveryEntry(id, address, newState, startedMillis, build);
    }
}
