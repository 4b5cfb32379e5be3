package laurelkeel.front.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The connection pools of all endpoints, by the key of their address.
 *
 * <p>Not thread-safe; called on the event loop's thread.
 */
final class EndpointPoolRegistry {
    private final UpstreamSettings settings;
    private final ConnectionLimiter limiter;
    private final Map<String, EndpointConnectionPool> pools = new HashMap<>();

    EndpointPoolRegistry(UpstreamSettings settings, ConnectionLimiter limiter) {
        this.settings = settings;
        this.limiter = limiter;
    }

    EndpointConnectionPool getOrCreate(EndpointAddress address) {
        return pools.computeIfAbsent(address.key(), key -> new EndpointConnectionPool(address, settings, limiter));
    }

    /** Closes all idle connections of one pool; no effect if there is no such pool. */
    void closeIdle(String key) {
        EndpointConnectionPool pool = pools.get(key);
        if (pool != null) {
            pool.closeIdleSinceBefore(Long.MAX_VALUE);
        }
    }

    /** Closes the connections in all pools that became idle before the given time. */
    void closeIdleSinceBefore(long ticks) {
        for (EndpointConnectionPool pool : pools.values()) {
            pool.closeIdleSinceBefore(ticks);
        }
    }

    /** Closes the connection that has been idle longest across all pools. */
    void closeLongestIdle() {
        EndpointConnection longest = findLongestIdle();
        if (longest != null) {
            longest.pool().removeIdle(longest);
            longest.close();
        }
    }

    private @Nullable EndpointConnection findLongestIdle() {
        EndpointConnection longest = null;
        for (EndpointConnectionPool pool : pools.values()) {
            EndpointConnection candidate = pool.longestIdle();
            if (candidate != null && (longest == null || candidate.idleSinceTicks() < longest.idleSinceTicks())) {
                longest = candidate;
            }
        }
        return longest;
    }

    void removeUnused() {
        pools.values().removeIf(EndpointConnectionPool::isUnused);
    }

    /** Describes each pool, sorted by key; see {@link ConnectionPools#describe}. */
    Map<String, String> describe() {
        Map<String, String> descriptions = new TreeMap<>();
        pools.forEach((key, pool) -> descriptions.put(key, pool.describe()));
        return descriptions;
    }
}
