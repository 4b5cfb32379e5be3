package laurelkeel.front.upstream;

import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;

/**
 * The address of an endpoint and the key of its connection pool.
 *
 * @param key identifies its connection pool; endpoints with different keys never share a connection
 * @param socketAddress null if the endpoint cannot be reached
 */
public record EndpointAddress(String key, @Nullable InetSocketAddress socketAddress) {}
