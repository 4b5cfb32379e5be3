package laurelkeel.front.ingress;

import java.net.InetSocketAddress;
import laurelkeel.wire.HttpLimits;

/**
 * Limits and timeouts of the connections from clients.
 *
 * @param listenAddress port 0 for any free one
 * @param httpLimits limits on each request
 * @param maxConnections slots for connections
 * @param spareConnections connections that may be open beyond those while others are closed to make room
 * @param maxOpenRequests requests in flight; further ones are rejected
 * @param maxQueuedTasks tasks waiting for the event loop; while there are more, new requests are rejected
 * @param maxPipelinedRequests requests of one connection that may wait behind the one in progress; with more, the
 *     connection is not read
 * @param idleTimeoutTicks how long a connection may be idle before it is closed
 * @param writeTimeoutTicks how long a pending response may make no progress before its connection is closed
 * @param threads I/O threads
 * @param maxDrainTicks how long a node that was told to stop waits for its requests in flight
 * @param lameDuckTicks how long a node that was told to stop goes on accepting requests
 * @param firstRequestTimeoutTicks how long a new connection may take to its first complete request; 0 for the idle timeout
 * @param partialRequestTimeoutTicks how long a request may take from its first byte to its last; 0 for the idle timeout
 * @param minIdleTicks how long a connection is kept after a response even where a newer one needs its slot; 0 to reject
 *     new connections instead of closing idle ones
 */
public record IngressSettings(
        InetSocketAddress listenAddress,
        HttpLimits httpLimits,
        int maxConnections,
        int spareConnections,
        int maxOpenRequests,
        int maxQueuedTasks,
        int maxPipelinedRequests,
        long idleTimeoutTicks,
        long writeTimeoutTicks,
        int threads,
        long maxDrainTicks,
        long lameDuckTicks,
        long firstRequestTimeoutTicks,
        long partialRequestTimeoutTicks,
        long minIdleTicks) {}
