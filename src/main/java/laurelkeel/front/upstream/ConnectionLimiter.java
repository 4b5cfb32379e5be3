package laurelkeel.front.upstream;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Limits the total number of connections to all endpoints, and queues the pools that wait for the limit.
 *
 * <p>Not thread-safe; called on the event loop's thread.
 */
final class ConnectionLimiter {
    private final int maxConnections;
    private final Set<EndpointConnectionPool> starvedPools = new LinkedHashSet<>();
    private int openConnections;
    private int pendingConnects;

    ConnectionLimiter(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    int openConnections() {
        return openConnections;
    }

    boolean isFull() {
        return openConnections + pendingConnects >= maxConnections;
    }

    void connectStarted() {
        pendingConnects++;
    }

    void connectEnded() {
        pendingConnects--;
    }

    void connectionOpened() {
        openConnections++;
    }

    void connectionClosed() {
        openConnections--;
    }

    /** Queues a pool that needs a connection until one to another endpoint is closed; no effect if it is queued already. */
    void addStarved(EndpointConnectionPool pool) {
        starvedPools.add(pool);
    }

    boolean isStarved(EndpointConnectionPool pool) {
        return starvedPools.contains(pool);
    }

    boolean hasStarvedPools() {
        return !starvedPools.isEmpty();
    }

    /** Removes and returns the pool that has waited longest; null if none waits. */
    @Nullable
    EndpointConnectionPool pollStarved() {
        Iterator<EndpointConnectionPool> pools = starvedPools.iterator();
        if (!pools.hasNext()) {
            return null;
        }
        EndpointConnectionPool first = pools.next();
        pools.remove();
        return first;
    }
}
