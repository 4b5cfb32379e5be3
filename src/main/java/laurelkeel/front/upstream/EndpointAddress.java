package laurelkeel.front.upstream;

import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;

/**
 * Where an endpoint is reached.
 *
 * @param key names its connection pool: endpoints with different keys never share a connection
 * @param socketAddress null where the endpoint cannot be reached
 */
public record EndpointAddress(String key, @Nullable InetSocketAddress socketAddress) {}
