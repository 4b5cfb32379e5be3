package laurelkeel.front.upstream;

import laurelkeel.wire.HttpLimits;

/**
 * Limits and timeouts of the connections to endpoints.
 *
 * @param httpLimits limits on each response
 * @param maxConnectionsPerEndpoint maximum connections to one endpoint, including those being opened
 * @param maxConnections maximum connections to all endpoints, including those being opened; when it is reached,
 *     idle connections are closed to free capacity
 * @param maxWaitingPerEndpoint maximum exchanges that wait for a connection to one endpoint; further ones fail immediately
 * @param connectTimeoutTicks maximum time that an exchange waits for a connection
 * @param idleTimeoutTicks time after which an idle connection is closed
 * @param threads number of I/O threads
 * @param healthCheckPath request path of health checks
 * @param healthCheckTimeoutTicks timeout of a health check
 * @param reuseDelayTicks minimum time between a response and the next request on its connection, so that surplus bytes after
 *     the response are not read as the next response
 */
public record UpstreamSettings(
        HttpLimits httpLimits,
        int maxConnectionsPerEndpoint,
        int maxConnections,
        int maxWaitingPerEndpoint,
        long connectTimeoutTicks,
        long idleTimeoutTicks,
        int threads,
        String healthCheckPath,
        long healthCheckTimeoutTicks,
        long reuseDelayTicks) {}
