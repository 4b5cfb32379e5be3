package laurelkeel.front.upstream;

import java.util.ArrayDeque;
import java.util.Iterator;
import laurelkeel.api.Event.AttemptOutcome;
import org.jspecify.annotations.Nullable;

/**
 * The connections to one endpoint and the exchanges that wait for one.
 *
 * <p>Not thread-safe; called on the event loop's thread.
 */
final class EndpointConnectionPool {
    private final EndpointAddress address;
    private final UpstreamSettings settings;
    private final ConnectionLimiter limiter;
    /** Ordered from most to least recently used, so that surplus connections reach their idle timeout and are closed. */
    private final ArrayDeque<EndpointConnection> idle = new ArrayDeque<>();

    private final ArrayDeque<Exchange> waiting = new ArrayDeque<>();
    private int openConnections;
    private int pendingConnects;

    EndpointConnectionPool(EndpointAddress address, UpstreamSettings settings, ConnectionLimiter limiter) {
        this.address = address;
        this.settings = settings;
        this.limiter = limiter;
    }

    EndpointAddress address() {
        return address;
    }

    /** Returns whether there are more waiting exchanges than pending connects, and the endpoint's limit allows a connection. */
    boolean needsConnection() {
        return pendingConnects < waiting.size()
                && openConnections + pendingConnects < settings.maxConnectionsPerEndpoint();
    }

    void connectStarted() {
        pendingConnects++;
        limiter.connectStarted();
    }

    void connectEnded() {
        pendingConnects--;
        limiter.connectEnded();
    }

    void connectionOpened() {
        openConnections++;
        limiter.connectionOpened();
    }

    void connectionClosed(EndpointConnection connection) {
        openConnections--;
        limiter.connectionClosed();
        idle.remove(connection);
    }

    void addIdle(EndpointConnection connection) {
        idle.addFirst(connection);
    }

    /** Removes a connection from the idle ones; returns false if it is not idle. */
    boolean removeIdle(EndpointConnection connection) {
        return idle.remove(connection);
    }

    /**
     * Removes and returns the most recently used idle connection that can carry an exchange, and drops those that are closing.
     *
     * @param latestIdleSinceTicks connections that became idle after this time are skipped
     * @return null if there is none
     */
    @Nullable
    EndpointConnection pollIdle(long latestIdleSinceTicks) {
        for (Iterator<EndpointConnection> connections = idle.iterator(); connections.hasNext(); ) {
            EndpointConnection connection = connections.next();
            if (!connection.isUsable()) {
                connections.remove();
            } else if (connection.idleSinceTicks() <= latestIdleSinceTicks) {
                connections.remove();
                return connection;
            }
        }
        return null;
    }

    /** Returns the connection that has been idle longest without removing it; null if there is none. */
    @Nullable
    EndpointConnection longestIdle() {
        return idle.peekLast();
    }

    /** Closes the connections that became idle before the given time. */
    void closeIdleSinceBefore(long ticks) {
        for (EndpointConnection oldest = idle.peekLast();
                oldest != null && oldest.idleSinceTicks() < ticks;
                oldest = idle.peekLast()) {
            idle.pollLast();
            oldest.close();
        }
    }

    /** Returns whether another exchange may wait, or an idle connection may be available for it. */
    boolean acceptsExchange() {
        return waiting.size() < settings.maxWaitingPerEndpoint() || !idle.isEmpty();
    }

    void addWaiting(Exchange exchange) {
        waiting.addLast(exchange);
    }

    void removeWaiting(Exchange exchange) {
        waiting.remove(exchange);
    }

    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** Returns the exchange that has waited longest without removing it; null if none waits. */
    @Nullable
    Exchange peekWaiting() {
        return waiting.peekFirst();
    }

    /** Removes and returns the exchange that has waited longest; null if none waits. */
    @Nullable
    Exchange pollWaiting() {
        return waiting.pollFirst();
    }

    /**
     * Counts a connection that closed before it carried an exchange as a failure of the exchange that has waited longest.
     * Otherwise an endpoint that accepts connections and immediately closes them would be reconnected to in an endless loop.
     */
    void unusedConnectionClosed() {
        Exchange first = waiting.peekFirst();
        if (first != null && !first.countUnsentFailure()) {
            waiting.pollFirst();
            first.end(AttemptOutcome.CONNECT_FAILED, null);
        }
    }

    boolean isUnused() {
        return openConnections == 0 && pendingConnects == 0 && waiting.isEmpty();
    }

    /** Returns the state of the pool for log output, in the format of {@link ConnectionPools#describe}. */
    String describe() {
        return openConnections + "/" + idle.size() + "/" + pendingConnects + "/" + waiting.size();
    }
}
