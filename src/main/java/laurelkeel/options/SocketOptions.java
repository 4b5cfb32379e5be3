package laurelkeel.options;

import java.util.List;

/**
 * The options that are needed only by a front node with sockets, in addition to the settings of the routing decisions.
 *
 * @param routes the names of the routes, in the order of the settings
 * @param tenants the names of the tenants, in the order of the settings
 * @param zones the names of the zones, in the order of the settings
 * @param kinds the names of the kinds of endpoints, in the order of the settings
 * @param clientsMarkRetries whether clients mark the requests that they retry
 * @param connectTimeoutTicks the longest wait for a connection to an endpoint; 0 if not set
 * @param idleTimeoutTicks the time after which endpoints close idle connections; 0 if not set
 * @param maxOpenRequests the maximum number of requests in progress at the node; 0 if not set
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
