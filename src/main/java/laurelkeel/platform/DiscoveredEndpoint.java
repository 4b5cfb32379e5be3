package laurelkeel.platform;

import java.net.InetSocketAddress;
import laurelkeel.api.Event.EndpointState;
import org.jspecify.annotations.Nullable;

/**
 * One entry of the endpoint list as sent by discovery.
 *
 * @param address the address as text, unchanged
 * @param socketAddress the parsed address; null if it cannot be parsed
 * @param zone name of the zone
 * @param kind name of the kind of endpoint
 * @param cell number of the cell, a small group of endpoints that share their knowledge of partition keys
 * @param weight capacity relative to other endpoints, above 0, without unit
 * @param startedAtUnixMillis Unix time of the last start; 0 for long ago
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
