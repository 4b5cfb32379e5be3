package laurelkeel.options;

import java.util.List;

/**
 * The options that only a front node with sockets needs, beside the decisions' settings.
 *
 * @param routes names of the routes, in the order of the settings
 * @param tenants names of the tenants, in the order of the settings
 * @param zones names of the zones, in the order of the settings
 * @param kinds names of the kinds of endpoints, in the order of the settings
 * @param clientsMarkRetries whether clients mark the requests that they send again
 * @param connectTimeoutTicks the longest wait for a connection to an endpoint; 0 where it is not set
 * @param idleTimeoutTicks after which endpoints close idle connections; 0 where it is not set
 * @param maxOpenRequests requests that the node may hold at once; 0 where it is not set
 */
public record SocketOptions(
        List<String> routes,
        List<String> tenants,
        List<String> zones,
        List<String> kinds,
        boolean clientsMarkRetries,
        long connectTimeoutTicks,
        long idleTimeoutTicks,
        int maxOpenRequests) {}
