package laurelkeel.front.upstream;

import java.net.InetSocketAddress;

/**
 * Where a machine is reached. Connections belong to a place: one whose key differs gets none of another's.
 *
 * @param at null where it cannot be reached
 */
public record EndpointAddress(String key, InetSocketAddress socketAddress) {}
