package laurelkeel.front.upstream;

import laurelkeel.wire.HttpLimits;

/**
 * Limits and timeouts of the connections to endpoints.
 *
 * @param httpLimits limits on each response
 * @param maxConnectionsPerEndpoint connections to one endpoint, open or being opened
 * @param maxConnections connections to all endpoints, open or being opened; at the limit idle ones are closed
 * @param maxWaitingPerEndpoint exchanges that may wait for a connection to one endpoint; further ones fail at once
 * @param connectTimeoutTicks how long an exchange waits for a connection
 * @param idleTimeoutTicks how long a connection may be idle before it is closed
 * @param threads I/O threads
 * @param healthCheckPath path of a health check
 * @param healthCheckTimeoutTicks how long a health check may take
 * @param restAfterResponseTicks how long a connection stays unused after a response, so that surplus bytes behind that
 *     response are not taken for the next one
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
        long restAfterResponseTicks) {}
