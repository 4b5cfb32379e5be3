package laurelkeel.platform;

import java.util.List;

/** One message of discovery: the complete endpoint list, or the entries that have changed. */
public record DiscoveredEndpointList(DiscoveredListHeader header, List<DiscoveredEndpoint> endpoints) {
    /** The version of the list after it. */
    public long version() {
        return header.version();
    }

    /** Whether it names every endpoint. */
    public boolean complete() {
        return header.complete();
    }
}
