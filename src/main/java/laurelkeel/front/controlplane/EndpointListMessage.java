package laurelkeel.front.controlplane;

import java.util.List;
import laurelkeel.api.Event.EndpointListKind;

/**
 * A version of the endpoint list, whole or by its changes.
 *
 * @param kind {@link EndpointListKind#SNAPSHOT} or {@link EndpointListKind#DELTA}
 * @param previousVersion for changes: the version that they change
 * @param endpoints all endpoints, or the changed ones
 */
public record EndpointListMessage(
        EndpointListKind kind, long version, long previousVersion, List<EndpointDescription> endpoints) {

    /** Whether the message names every endpoint. */
    public boolean isSnapshot() {
        return kind == EndpointListKind.SNAPSHOT;
    }
}
