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
    /** The most recently used first, so that the others age and are closed. */
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

    // ---- connections

    /** Whether an exchange waits that no connection is being opened for, and the endpoint's limit allows one. */
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

    // ---- idle connections

    void addIdle(EndpointConnection connection) {
        idle.addFirst(connection);
    }

    /** Takes a connection out of the idle ones; false where it is not among them. */
    boolean removeIdle(EndpointConnection connection) {
        return idle.remove(connection);
    }

    /**
     * Removes and returns the most recently used connection that can carry an exchange, and drops those that are closing.
     *
     * @param latestIdleSinceTicks connections that became idle after this are passed over
     * @return null for none
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

    /** Returns the connection that has been idle longest, which stays in the pool; null for none. */
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

    // ---- waiting exchanges

    /** Whether a further exchange finds an idle connection or may wait for one. */
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

    /** Returns the exchange that has waited longest, which goes on waiting; null for none. */
    @Nullable
    Exchange peekWaiting() {
        return waiting.peekFirst();
    }

    /** Removes and returns the exchange that has waited longest; null for none. */
    @Nullable
    Exchange pollWaiting() {
        return waiting.pollFirst();
    }

    /**
     * Counts a connection that closed before it carried anything against the exchange that has waited longest: an endpoint
     * that accepts connections and closes them at once would be connected to again and again without pause.
     */
    void unusedConnectionClosed() {
        Exchange first = waiting.peekFirst();
        if (first != null && !first.countUnsentFailure()) {
            waiting.pollFirst();
            first.end(AttemptOutcome.CONNECT_FAILED, null);
        }
    }

    // ---- the pool

    boolean isUnused() {
        return openConnections == 0 && pendingConnects == 0 && waiting.isEmpty();
    }

    /** Connections open, idle and being opened, and exchanges waiting, with slashes between; for logs. */
    String describe() {
        return openConnections + "/" + idle.size() + "/" + pendingConnects + "/" + waiting.size();
    }
}
