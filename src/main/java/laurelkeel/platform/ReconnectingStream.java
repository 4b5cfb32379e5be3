package laurelkeel.platform;

import java.net.InetSocketAddress;
import laurelkeel.api.Ticks;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.controlplane.ReconnectBackoff;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps one connection to a service that sends messages without being asked.
 *
 * <p>A connection that ends is replaced, with a growing backoff where the new one receives nothing. Where the current
 * one is silent or the service moves, a candidate is opened beside it and takes over with its first message, so no
 * message in between is missed.
 *
 * <p>Lifecycle as of {@link ServiceClient}. Not thread-safe; called on the event loop's thread.
 */
final class ReconnectingStream {
    private static final Logger LOG = LoggerFactory.getLogger(ReconnectingStream.class);
    private static final long CHECK_INTERVAL_TICKS = 100 * Ticks.PER_MILLISECOND;
    /** A service that is up answers at once. */
    private static final long CANDIDATE_IDLE_TIMEOUT_TICKS = 700 * Ticks.PER_MILLISECOND;

    private static final long MIN_BACKOFF_MILLIS = 100;
    /** Well below the seconds after which the platform takes its news as known. */
    private static final long MAX_BACKOFF_MILLIS = 1_000;

    private final StreamProtocol protocol;
    private final ServiceConnector connector;
    private final EventLoop loop;
    private final ReconnectBackoff backoff;
    private InetSocketAddress address;
    /** The connection that has received messages; null while there is none. */
    private @Nullable StreamConnection current;
    /** The connection that is to take over; null while there is none. */
    private @Nullable StreamConnection candidate;

    private long retryAtTicks;
    private boolean started;
    private boolean closed;

    /**
     * Creates one that is complete, and silent until it starts.
     *
     * @param seed for the random part of its backoff
     * @param address of the service, until it moves
     */
    ReconnectingStream(
            StreamProtocol protocol, ServiceConnector connector, EventLoop loop, long seed, InetSocketAddress address) {
        this.protocol = protocol;
        this.connector = connector;
        this.loop = loop;
        this.address = address;
        backoff = new ReconnectBackoff(seed, MIN_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);
    }

    /** Connects to the present address; has no effect where it has started or is closed. */
    void start() {
        if (!started && !closed) {
            started = true;
            candidate = new StreamConnection();
            check();
        }
    }

    /** Follows the service to another address; the old connection is read until the new one receives a message. */
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

    /** Closes all connections and opens no further ones. */
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
            closeCandidate();
            retryAtTicks = nowTicks + nextBackoffTicks();
        }
        if (candidate == null && needsCandidate(nowTicks) && nowTicks >= retryAtTicks) {
            candidate = new StreamConnection();
        }
    }

    /** Whether there is no current connection, or one that is silent or at an address that the service has left. */
    private boolean needsCandidate(long nowTicks) {
        return current == null || !current.isAt(address) || current.isSilent(nowTicks);
    }

    private void takeOver(StreamConnection next) {
        if (current != null) {
            current.close();
        }
        current = next;
        candidate = null;
        backoff.reset();
    }

    private void onLost(StreamConnection lost) {
        boolean wasCurrent = lost == current;
        if (wasCurrent) {
            current = null;
        }
        if (lost == candidate) {
            candidate = null;
        }
        // a service whose connection worked is likely to be back at once; another is not
        retryAtTicks = wasCurrent ? loop.nowTicks() : loop.nowTicks() + nextBackoffTicks();
        if (wasCurrent && candidate == null && !closed) {
            candidate = new StreamConnection();
        }
    }

    private long nextBackoffTicks() {
        return backoff.nextDelayMillis() * Ticks.PER_MILLISECOND;
    }

    /** One connection and when it last received something. */
    private final class StreamConnection implements ConnectionListener {
        private final StreamReader reader = protocol.newReader();
        private final InetSocketAddress connectionAddress = address;
        private final long openedAtTicks = loop.nowTicks();
        private long lastMessageAtTicks = openedAtTicks;
        /** Also of bytes that are only part of a message. */
        private long lastBytesAtTicks = openedAtTicks;

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

        /** For a candidate: whether it receives nothing at all, or nothing complete. */
        boolean hasFailed(long nowTicks) {
            return nowTicks > lastBytesAtTicks + CANDIDATE_IDLE_TIMEOUT_TICKS
                    || nowTicks > openedAtTicks + protocol.silenceTimeoutTicks();
        }

        @Override
        public void onBytes(byte[] bytes, long arrivedAtTicks) {
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
                        "{}: a message cannot be followed, so the connection is replaced: {}",
                        protocol.serviceName(),
                        e.getMessage());
                discard();
            } catch (RuntimeException e) {
                // no message of a service may stop the node, which goes on with what it knows
                LOG.error("{}: handling a message failed; the connection is replaced", protocol.serviceName(), e);
                discard();
            }
        }

        private void discard() {
            connection.close();
            onLost(this);
        }

        @Override
        public void onClosed(boolean written) {
            LOG.warn("{}: the connection ended", protocol.serviceName());
            onLost(this);
        }
    }
}
