package laurelkeel.front.upstream;

import laurelkeel.wire.HttpCodec;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.jspecify.annotations.Nullable;

/**
 * One connection to an endpoint, which carries one exchange at a time.
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

    private long writtenBytesBeforeExchange;
    private long idleSinceTicks;
    private boolean used;
    private boolean closed;

    private EndpointConnection(EndpointConnectionPool pool, IoSession session, long idleSinceTicks) {
        this.pool = pool;
        this.session = session;
        this.idleSinceTicks = idleSinceTicks;
    }

    /** Makes a new session a connection of a pool. */
    static EndpointConnection attach(EndpointConnectionPool pool, IoSession session, long idleSinceTicks) {
        EndpointConnection connection = new EndpointConnection(pool, session, idleSinceTicks);
        session.setAttribute(CONNECTION, connection);
        return connection;
    }

    /** Returns the connection of a session; null where it was never attached to a pool. */
    static @Nullable EndpointConnection of(IoSession session) {
        return session.getAttribute(CONNECTION) instanceof EndpointConnection connection ? connection : null;
    }

    /** Records that a session was closed before it was attached. */
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

    void idleSince(long ticks) {
        idleSinceTicks = ticks;
    }

    /** Whether it ever carried an exchange. */
    boolean wasUsed() {
        return used;
    }

    boolean isUsable() {
        return !closed && !session.isClosing();
    }

    /** Records that the connection has ended; returns false where that was known. */
    boolean markClosed() {
        boolean first = !closed;
        closed = true;
        return first;
    }

    /** Closes it now; the pool learns of that once the session has ended. */
    void close() {
        session.closeNow();
    }

    /** Sends the message of an exchange, which then holds this connection. */
    void send(Exchange next, byte[] message, long nowTicks) {
        exchange = next;
        used = true;
        next.sentOn(this, nowTicks);
        writtenBytesBeforeExchange = session.getWrittenBytes();
        if (next.isHeadRequest()) {
            HttpCodec.expectHeadResponse(session);
        }
        HttpCodec.announceRequest(session);
        session.write(IoBuffer.wrap(message));
    }

    /** Whether a byte was written since the last exchange was sent. */
    boolean hasWrittenExchange() {
        return session.getWrittenBytes() != writtenBytesBeforeExchange;
    }

    /** Returns the exchange that is on it, which is then no longer; null for none. */
    @Nullable
    Exchange takeExchange() {
        Exchange taken = exchange;
        exchange = null;
        return taken;
    }
}
