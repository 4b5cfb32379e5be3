package laurelkeel.front.ingress;

import java.net.InetSocketAddress;
import laurelkeel.wire.HttpLimits;

/**
 * Limits and timeouts of the connections from clients.
 *
 * @param listenAddress address to listen on; port 0 selects any free port
 * @param httpLimits limits on each request
 * @param maxConnections number of slots for connections
 * @param spareConnections number of connections that may be open in addition while idle ones are being closed to free slots
 * @param maxOpenRequests maximum number of requests in flight; further ones are rejected
 * @param maxQueuedTasks maximum number of tasks waiting for the event loop; when it is reached, new requests are rejected
 * @param maxPipelinedRequests number of unanswered requests per connection above which no further one is decoded
 * @param idleTimeoutTicks time after which an idle connection is closed
 * @param writeTimeoutTicks time after which a connection is closed if no byte of its pending responses can be written
 * @param threads number of I/O threads
 * @param maxDrainTicks maximum time for which a stopping node waits for its requests in flight
 * @param lameDuckTicks time for which a stopping node continues to accept requests
 * @param drainDeadlineTicks time from the start of a drain within which the requests that arrive in it are answered, because
 *     the process may be killed after it; 0 for no limit
 * @param firstRequestTimeoutTicks maximum time from the opening of a connection to its first complete request; 0 to apply
 *     the idle timeout
 * @param partialRequestTimeoutTicks maximum time from the first byte of a request to its last; 0 to apply the idle timeout
 * @param minIdleTicks time for which a connection stays open after a response even if a newer connection needs its slot; 0
 *     to reject new connections instead of closing idle ones
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
        long drainDeadlineTicks,
        long firstRequestTimeoutTicks,
        long partialRequestTimeoutTicks,
        long minIdleTicks) {}
