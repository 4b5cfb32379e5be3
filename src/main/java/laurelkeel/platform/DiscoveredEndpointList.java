package laurelkeel.platform;

import java.util.List;

/**
 * One message of discovery: the complete endpoint list, or the entries that have changed.
 *
 * @param version of the list after it
 * @param complete whether it names every endpoint
 */
public record DiscoveredEndpointList(long version, boolean complete, List<DiscoveredEndpoint> endpoints) {}
