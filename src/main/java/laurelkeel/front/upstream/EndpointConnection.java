package laurelkeel.front.upstream;

import laurelkeel.eventloop.EventLoop;
import laurelkeel.wire.HttpCodec;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.jspecify.annotations.Nullable;

/**
 * A connection to an endpoint, which carries one exchange at a time.
 *
 * <p>Not thread-safe; called on the event loop's thread.
 */
final class EndpointConnection {
    private static final AttributeKey CONNECTION = new AttributeKey(EndpointConnection.class, "connection");
    private static final AttributeKey CLOSED_UNATTACHED = new AttributeKey(EndpointConnection.class, "closed");

    private final EndpointConnectionPool pool;
    private final IoSession session;
    /** Null while the connection is idle. */
    private @Nullable Exchange exchange;

    /** The response to the exchange in progress while its end awaits confirmation; otherwise null. */
    private @Nullable EndpointResponse heldResponse;

    private EventLoop.@Nullable ScheduledTask confirmationTimer;

    private long writtenBytesBeforeExchange;
    private long idleSinceTicks;
    private boolean used;
    private boolean closed;

    private EndpointConnection(EndpointConnectionPool pool, IoSession session, long idleSinceTicks) {
        this.pool = pool;
        this.session = session;
        this.idleSinceTicks = idleSinceTicks;
    }

    /** Creates the connection for a new session and assigns it to a pool. */
    static EndpointConnection attach(EndpointConnectionPool pool, IoSession session, long idleSinceTicks) {
        EndpointConnection connection = new EndpointConnection(pool, session, idleSinceTicks);
        session.setAttribute(CONNECTION, connection);
        return connection;
    }

    /** Returns the connection of a session; null if the session has not been attached to a pool. */
    static @Nullable EndpointConnection of(IoSession session) {
        return session.getAttribute(CONNECTION) instanceof EndpointConnection connection ? connection : null;
    }

    /** Records that a session was closed before it was attached to a pool. */
    static void markClosedUnattached(IoSession session) {
        session.setAttribute(CLOSED_UNATTACHED, true);
    }

    static boolean wasClosedUnattached(IoSession session) {
        return session.containsAttribute(CLOSED_UNATTACHED);
    }

    EndpointConnectionPool pool() {
        return pool;
    }

    long idleSinceTicks() {
        return idleSinceTicks;
    }

    void setIdleSince(long ticks) {
        idleSinceTicks = ticks;
    }

    /** Returns whether an exchange was ever sent on it. */
    boolean wasUsed() {
        return used;
    }

    boolean isUsable() {
        return !closed && !session.isClosing();
    }

    /** Records that the connection has closed; returns false if this was recorded before. */
    boolean markClosed() {
        boolean first = !closed;
        closed = true;
        return first;
    }

    /** Closes the session immediately; the pool is notified when the session has closed. */
    void close() {
        session.closeNow();
    }

    /** Sends the request of an exchange, which occupies this connection until {@link #takeExchange}. */
    void send(Exchange next, byte[] message, long nowTicks) {
        exchange = next;
        used = true;
        next.sentOn(this, nowTicks);
        writtenBytesBeforeExchange = session.getWrittenBytes();
        if (next.request().isHeadRequest()) {
            HttpCodec.expectHeadResponse(session);
        }
        HttpCodec.announceRequest(session, next.request()::mayBeWritten);
        session.write(IoBuffer.wrap(message));
    }

    /** Returns whether any byte was written since the last exchange was sent. */
    boolean hasWrittenExchange() {
        return session.getWrittenBytes() != writtenBytesBeforeExchange;
    }

    /** Keeps the response to the exchange in progress until it is taken; the timer is cancelled then. */
    void holdResponse(EndpointResponse response, EventLoop.ScheduledTask timer) {
        heldResponse = response;
        confirmationTimer = timer;
    }

    /** Removes and returns the response that awaits confirmation; null if there is none. */
    @Nullable
    EndpointResponse takeHeldResponse() {
        EndpointResponse taken = heldResponse;
        heldResponse = null;
        if (confirmationTimer != null) {
            confirmationTimer.cancel();
            confirmationTimer = null;
        }
        return taken;
    }

    /** Removes and returns the exchange in progress; null if there is none. */
    @Nullable
    Exchange takeExchange() {
        Exchange taken = exchange;
        exchange = null;
        return taken;
    }
}
