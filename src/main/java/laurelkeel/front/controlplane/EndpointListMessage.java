package laurelkeel.front.controlplane;

import java.util.List;
import laurelkeel.api.Event.EndpointListKind;

/**
 * A version of the endpoint list, complete or as changes to an earlier version.
 *
 * @param kind {@link EndpointListKind#SNAPSHOT} or {@link EndpointListKind#DELTA}
 * @param previousVersion for a delta: the version that it applies to
 * @param endpoints all endpoints of a snapshot, or the changed endpoints of a delta
 */
public record EndpointListMessage(
        EndpointListKind kind, long version, long previousVersion, List<EndpointDescription> endpoints) {

    /** Returns whether the message contains every endpoint. */
    public boolean isSnapshot() {
        return kind == EndpointListKind.SNAPSHOT;
    }
}
