package laurelkeel.front.ingress;

import java.net.InetSocketAddress;
import laurelkeel.wire.HttpLimits;

/**
 * The door's bounds; times in tenths of a millisecond.
 *
 * @param spare connections that may come on top while others make room for them
 * @param openReqs reqs held at once; past them new ones are shed at the door
 * @param backlog happenings waiting for the loop; past them new reqs are shed at the door
 * @param pipelined reqs of one connection that may wait behind the one in progress; past them it is not read
 * @param drainMost the longest that a front told to stop waits for what it holds
 * @param lameDuck how long a front told to stop goes on taking reqs
 * @param firstReq a connection whose first req is not whole by then is closed; 0: as idle ones
 * @param halfReq a req begun and not whole by then is refused and its connection closed; 0: as idle ones
 * @param keep an idle connection is kept so long after an answer even where another needs its place; 0: connections
 *     that come when all places are taken are turned away
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
