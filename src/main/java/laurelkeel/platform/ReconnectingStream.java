package laurelkeel.platform;

import java.net.InetSocketAddress;
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
 * current connection is silent or the service moves, a candidate connection is opened in parallel and replaces the
 * current one with its first message, so that no message is missed in between.
 *
 * <p>Has the same lifecycle as {@link ServiceClient}. Not thread-safe; called on the event loop's thread.
 */
final class ReconnectingStream {
    private static final Logger LOG = LoggerFactory.getLogger(ReconnectingStream.class);
    private static final long CHECK_INTERVAL_TICKS = 100 * Ticks.PER_MILLISECOND;
    /** A service that is up responds immediately. */
    private static final long CANDIDATE_IDLE_TIMEOUT_TICKS = 700 * Ticks.PER_MILLISECOND;

    private static final long MIN_BACKOFF_MILLIS = 100;
    /** Well below the number of seconds after which the platform treats its updates as known. */
    private static final long MAX_BACKOFF_MILLIS = 1_000;

    private final StreamProtocol protocol;
    private final ServiceConnector connector;
    private final EventLoop loop;
    private final ReconnectBackoff backoff;
    private InetSocketAddress address;
    /** The connection that has received messages; null if there is none. */
    private @Nullable StreamConnection current;
    /** The connection that is to replace the current one; null if there is none. */
    private @Nullable StreamConnection candidate;

    private long retryAtTicks;
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
    }

    /** Connects to the current address; has no effect if the stream has been started or closed. */
    void start() {
        if (!started && !closed) {
            started = true;
            candidate = new StreamConnection();
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
            closeCandidate();
            candidate = new StreamConnection();
        }
    }

    /** Closes all connections; no further ones are opened. */
    void close() {
        closed = true;
        closeCandidate();
        if (current != null) {
            current.close();
        }
    }

    private void closeCandidate() {
        if (candidate != null) {
            candidate.close();
            candidate = null;
        }
    }

    private void check() {
        if (closed) {
            return;
        }
        long nowTicks = loop.nowTicks();
        loop.schedule(nowTicks + CHECK_INTERVAL_TICKS, this::check);
        if (candidate != null && candidate.hasFailed(nowTicks)) {
            LOG.info("{}: giving up a connection: {}", protocol.serviceName(), candidate.describe(nowTicks));
            closeCandidate();
            retryAtTicks = nowTicks + nextBackoffTicks();
        }
        if (candidate == null && needsCandidate(nowTicks) && nowTicks >= retryAtTicks) {
            candidate = new StreamConnection();
        }
    }

    /** Returns whether the current connection is missing, silent or at an old address of the service. */
    private boolean needsCandidate(long nowTicks) {
        return current == null || !current.isAt(address) || current.isSilent(nowTicks);
    }

    private void takeOver(StreamConnection next) {
        LOG.info("{}: first message on a connection: {}", protocol.serviceName(), next.describe(loop.nowTicks()));
        if (current != null) {
            current.close();
        }
        current = next;
        candidate = null;
        backoff.reset();
    }

    private void onConnectionLost(StreamConnection lost) {
        boolean wasCurrent = lost == current;
        if (wasCurrent) {
            current = null;
        }
        if (lost == candidate) {
            candidate = null;
        }
        // a service whose connection worked is likely to accept a new one immediately; otherwise it is not
        retryAtTicks = wasCurrent ? loop.nowTicks() : loop.nowTicks() + nextBackoffTicks();
        if (wasCurrent && candidate == null && !closed) {
            candidate = new StreamConnection();
        }
    }

    private long nextBackoffTicks() {
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

        private final ServiceConnection connection = connector.open(address, protocol.openingRequest(), this);

        void close() {
            connection.close();
        }

        boolean isAt(InetSocketAddress serviceAddress) {
            return connectionAddress.equals(serviceAddress);
        }

        boolean isSilent(long nowTicks) {
            return nowTicks > lastMessageAtTicks + protocol.silenceTimeoutTicks();
        }

        /** Returns whether a candidate has failed because it received no bytes or no complete message in time. */
        boolean hasFailed(long nowTicks) {
            return nowTicks > lastBytesAtTicks + CANDIDATE_IDLE_TIMEOUT_TICKS
                    || nowTicks > openedAtTicks + protocol.silenceTimeoutTicks();
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
                    if (candidate == this) {
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
            onConnectionLost(this);
        }

        @Override
        public void onClosed(boolean written) {
            LOG.warn("{}: the connection was closed or could not be opened", protocol.serviceName());
            onConnectionLost(this);
        }
    }
}
