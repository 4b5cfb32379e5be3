package laurelkeel.platform;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A message from discovery, whose entries are used only if the list is new.
 *
 * @param endpoints the valid entries
 * @param malformedEntry the error of the first malformed entry; null if all are valid
 */
record DiscoveryMessage(
        DiscoveredListHeader header,
        List<DiscoveredEndpoint> endpoints,
        @Nullable MalformedMessageException malformedEntry) {
    /**
     * Returns the endpoint list.
     *
     * @throws MalformedMessageException if any entry is malformed: no part of such a list is used
     */
    DiscoveredEndpointList list() throws MalformedMessageException {
        if (malformedEntry != null) {
            throw malformedEntry;
        }
        return new DiscoveredEndpointList(header, endpoints);
    }
}
