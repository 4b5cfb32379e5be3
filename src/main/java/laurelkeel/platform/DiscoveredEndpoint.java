package laurelkeel.platform;

import java.net.InetSocketAddress;
import laurelkeel.api.Event.EndpointState;
import org.jspecify.annotations.Nullable;

/**
 * One entry of discovery's list.
 *
 * @param address as discovery wrote it
 * @param socketAddress where it is reached; null where the address cannot be parsed
 * @param zone name of its zone
 * @param kind name of its kind of endpoint
 * @param cell a small group of endpoints that share what they know of partition keys
 * @param weight its capacity beside that of other endpoints, above 0, without unit
 * @param startedAtUnixMillis Unix time of its last start; 0 for long ago
 */
public record DiscoveredEndpoint(
        String id,
        String address,
        @Nullable InetSocketAddress socketAddress,
        String zone,
        String kind,
        int cell,
        EndpointState state,
        double weight,
        long startedAtUnixMillis,
        int build) {}
