package laurelkeel.platform;

/**
 * Version and completeness of the endpoint list in a message from discovery.
 *
 * @param version version of the endpoint list after this message
 * @param complete whether the message contains every endpoint, and not only the changed ones
 */
public record DiscoveredListHeader(long version, boolean complete) {}
