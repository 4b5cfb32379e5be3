package laurelkeel.platform;

import java.util.List;

/** A message from discovery with the complete endpoint list or the entries that have changed. */
public record DiscoveredEndpointList(DiscoveredListHeader header, List<DiscoveredEndpoint> endpoints) {
    /** Returns the version of the endpoint list after this message. */
    public long version() {
        return header.version();
    }

    /** Returns whether the message contains every endpoint. */
    public boolean complete() {
        return header.complete();
    }
}
