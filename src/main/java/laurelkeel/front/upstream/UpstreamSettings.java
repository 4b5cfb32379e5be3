package laurelkeel.front.upstream;

import laurelkeel.wire.HttpLimits;

/**
 * The pools' bounds; times in tenths of a millisecond.
 *
 * @param connections open and being opened, a machine
 * @param most open and being opened to all machines; past them what is idle elsewhere gives way
 * @param waiting exchanges that wait for a connection, a machine; past them an exchange ends without one
 * @param rest what a connection rests after an answer, so that what comes behind it is not taken for the next one
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
