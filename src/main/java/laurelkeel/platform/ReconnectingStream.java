package laurelkeel.platform;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import laurelkeel.api.Ticks;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.controlplane.ReconnectBackoff;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Maintains one connection to a service that pushes messages.
 *
 * <p>A connection that ends is replaced, with an increasing backoff as long as new connections receive nothing. If the
 * current connection is silent or the service moves, new connections are opened beside it, and the first of them to
 * receive a message replaces it, so that no message is missed in between.
 *
 * <p>A new connection that receives nothing may lead to a service that is slow, or nowhere, which cannot be told apart.
 * So it is kept while further ones are opened beside it. The number of pending connections is limited: the oldest ones
 * are kept, since only they reach a service that is very slow, and the others make room for new ones, since only a new
 * one reaches a service that lost the requests of the earlier ones.
 *
 * <p>Has the same lifecycle as {@link ServiceClient}. Not thread-safe; called on the event loop's thread.
 */
final class ReconnectingStream {
    private static final Logger LOG = LoggerFactory.getLogger(ReconnectingStream.class);
    private static final long CHECK_INTERVAL_TICKS = 100 * Ticks.PER_MILLISECOND;
    /** If no pending connection has received bytes for this time, another one is opened. */
    private static final long STALLED_AFTER_TICKS = 700 * Ticks.PER_MILLISECOND;

    /** The longest wait of a pending connection for its first message. */
    private static final long MAX_PENDING_TICKS = 30 * Ticks.PER_SECOND;

    private static final int MAX_PENDING_CONNECTIONS = 6;
    /** Number of the oldest pending connections that do not make room for new ones. */
    private static final int KEPT_PENDING_CONNECTIONS = 2;

    private static final long MIN_BACKOFF_MILLIS = 100;
    /** Well below the number of seconds after which the platform treats its updates as known. */
    private static final long MAX_BACKOFF_MILLIS = 1_000;

    private static final long UNUSABLE_PERIOD_TICKS = 10 * Ticks.PER_SECOND;

    private final StreamProtocol protocol;
    private final ServiceConnector connector;
    private final EventLoop loop;
    private final ReconnectBackoff backoff;
    private final ReconnectBackoff unusableBackoff;
    private InetSocketAddress address;
    /** The connection that has received messages; null if there is none. */
    private @Nullable StreamConnection current;
    /** The connections of which the first one to receive a message replaces the current one, oldest first. */
    private final List<StreamConnection> pending = new ArrayList<>();

    /** When the next connection is opened if one is needed and no pending one makes progress; empty if not decided yet. */
    private OptionalLong nextOpenAtTicks = OptionalLong.empty();

    /** The end of the time in which a further unusable message counts as the same one. */
    private long unusableUntilTicks = Long.MIN_VALUE;

    private boolean started;
    private boolean closed;

    /**
     * Creates a stream that opens no connection until it is started.
     *
     * @param seed seeds the random part of the backoff
     * @param address initial address of the service
     */
    ReconnectingStream(
            StreamProtocol protocol, ServiceConnector connector, EventLoop loop, long seed, InetSocketAddress address) {
        this.protocol = protocol;
        this.connector = connector;
        this.loop = loop;
        this.address = address;
        backoff = new ReconnectBackoff(seed, MIN_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);
        unusableBackoff = new ReconnectBackoff(seed, MIN_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);
    }

    /** Connects to the current address; has no effect if the stream has been started or closed. */
    void start() {
        if (!started && !closed) {
            started = true;
            openConnection();
            check();
        }
    }

    /** Moves to another address of the service; the old connection is read until the new one receives a message. */
    void moveTo(InetSocketAddress newAddress) {
        if (closed || newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        if (started) {
            closePending();
            openConnection();
        }
    }

    /** Closes all connections; no further ones are opened. */
    void close() {
        closed = true;
        closePending();
        if (current != null) {
            current.close();
        }
    }

    private void closePending() {
        pending.forEach(StreamConnection::close);
        pending.clear();
    }

    private void openConnection() {
        nextOpenAtTicks = OptionalLong.empty();
        if (pending.size() == MAX_PENDING_CONNECTIONS) {
            giveUp(pending.get(KEPT_PENDING_CONNECTIONS));
        }
        pending.add(new StreamConnection());
    }

    private void giveUp(StreamConnection connection) {
        LOG.info("{}: giving up a connection: {}", protocol.serviceName(), connection.describe(loop.nowTicks()));
        connection.close();
        pending.remove(connection);
    }

    private void check() {
        if (closed) {
            return;
        }
        long nowTicks = loop.nowTicks();
        loop.schedule(nowTicks + CHECK_INTERVAL_TICKS, this::check);
        pending.stream()
                .filter(connection -> connection.isExpired(nowTicks))
                .toList()
                .forEach(this::giveUp);
        if (!needsConnection(nowTicks) || pending.stream().anyMatch(connection -> !connection.isStalled(nowTicks))) {
            return;
        }
        if (nextOpenAtTicks.isEmpty() && !pending.isEmpty()) {
            openAfter(nextDelayTicks(backoff));
        }
        if (nowTicks >= nextOpenAtTicks.orElse(nowTicks)) {
            openConnection();
        }
    }

    /** Returns whether the current connection is missing, silent or at an old address of the service. */
    private boolean needsConnection(long nowTicks) {
        return current == null || !current.isAt(address) || current.isSilent(nowTicks);
    }

    private void takeOver(StreamConnection next) {
        LOG.info("{}: first message on a connection: {}", protocol.serviceName(), next.describe(loop.nowTicks()));
        if (current != null) {
            current.close();
        }
        current = next;
        pending.remove(next);
        closePending();
        nextOpenAtTicks = OptionalLong.empty();
        backoff.reset();
    }

    private void onConnectionLost(StreamConnection lost) {
        boolean worked = forget(lost);
        // a service whose connection worked is likely to accept a new one immediately
        openAfter(worked ? 0 : nextDelayTicks(backoff));
        if (worked && pending.isEmpty() && !closed) {
            openConnection();
        }
    }

    /** Delays the next connection, which may receive the same message: it would be read in vain without end. */
    private void onMessageUnusableAgain(StreamConnection lost) {
        forget(lost);
        openAfter(nextDelayTicks(unusableBackoff));
    }

    /** Returns whether the connection was the current one. */
    private boolean forget(StreamConnection lost) {
        pending.remove(lost);
        boolean wasCurrent = lost == current;
        if (wasCurrent) {
            current = null;
        }
        return wasCurrent;
    }

    private void openAfter(long delayTicks) {
        nextOpenAtTicks = OptionalLong.of(loop.nowTicks() + delayTicks);
    }

    private static long nextDelayTicks(ReconnectBackoff backoff) {
        return backoff.nextDelayMillis() * Ticks.PER_MILLISECOND;
    }

    /** One connection and the times at which it last received bytes and a message. */
    private final class StreamConnection implements ConnectionListener {
        private final StreamReader reader = protocol.newReader();
        private final InetSocketAddress connectionAddress = address;
        private final long openedAtTicks = loop.nowTicks();
        private long lastMessageAtTicks = openedAtTicks;
        /** Includes bytes that are only part of a message. */
        private long lastBytesAtTicks = openedAtTicks;

        private long receivedBytes;

        private final ServiceConnection connection =
                connector.open(address, MAX_PENDING_TICKS, protocol.openingRequest(), this);

        void close() {
            connection.close();
        }

        boolean isAt(InetSocketAddress serviceAddress) {
            return connectionAddress.equals(serviceAddress);
        }

        boolean isSilent(long nowTicks) {
            return nowTicks > lastMessageAtTicks + protocol.silenceTimeoutTicks();
        }

        /** Returns whether it has received no bytes lately, or no complete message for the time of a silent connection. */
        boolean isStalled(long nowTicks) {
            return nowTicks > lastBytesAtTicks + STALLED_AFTER_TICKS
                    || nowTicks > openedAtTicks + protocol.silenceTimeoutTicks();
        }

        /** Returns whether it has waited too long for its first message. */
        boolean isExpired(long nowTicks) {
            return nowTicks > openedAtTicks + MAX_PENDING_TICKS;
        }

        /** Describes how far the connection has come, for log output. */
        String describe(long nowTicks) {
            return "opened " + (nowTicks - openedAtTicks) / Ticks.PER_MILLISECOND + " ms ago, "
                    + (connection.isOpen() ? "established, " : "not established, ") + receivedBytes
                    + " bytes received";
        }

        @Override
        public void onBytes(byte[] bytes, long arrivedAtTicks) {
            receivedBytes += bytes.length;
            lastBytesAtTicks = loop.nowTicks();
            try {
                if (reader.read(bytes, arrivedAtTicks)) {
                    lastMessageAtTicks = lastBytesAtTicks;
                    if (pending.contains(this)) {
                        takeOver(this);
                    }
                }
            } catch (UnusableMessageException e) {
                LOG.warn(
                        "{}: received an unusable message; replacing the connection: {}",
                        protocol.serviceName(),
                        e.getMessage());
                discard();
            } catch (RuntimeException e) {
                // no message from a service may stop the node, which continues with its last known state
                LOG.error("{}: handling a message failed; replacing the connection", protocol.serviceName(), e);
                discard();
            }
        }

        private void discard() {
            connection.close();
            long nowTicks = loop.nowTicks();
            boolean isAgain = protocol.resendsMessages() && nowTicks < unusableUntilTicks;
            unusableUntilTicks = nowTicks + UNUSABLE_PERIOD_TICKS;
            if (isAgain) {
                onMessageUnusableAgain(this);
            } else {
                unusableBackoff.reset();
                onConnectionLost(this);
            }
        }

        @Override
        public void onClosed(boolean written) {
            LOG.warn("{}: the connection was closed or could not be opened", protocol.serviceName());
            onConnectionLost(this);
        }
    }
}
