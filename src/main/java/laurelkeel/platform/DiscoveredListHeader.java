package laurelkeel.platform;

/**
 * Which endpoint list a message of discovery holds.
 *
 * @param version of the list after it
 * @param complete whether it names every endpoint
 */
public record DiscoveredListHeader(long version, boolean complete) {}
