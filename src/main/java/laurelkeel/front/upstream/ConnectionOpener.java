package laurelkeel.front.upstream;

import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.util.Objects;
import java.util.function.Consumer;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.eventloop.EventLoop;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Opens connections for exchanges that wait, within the limits of each endpoint and of all together.
 *
 * <p>Not thread-safe; called on the event loop's thread.
 */
final class ConnectionOpener {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionOpener.class);
    /**
     * A connect may take longer than one exchange waits for it: both sides have paid for the connection, and it serves the
     * next exchange.
     */
    private static final int CONNECT_TIMEOUT_FACTOR = 2;

    private static final long MIN_CONNECT_TIMEOUT_TICKS = 10;
    /** A shortage on this host (descriptors, ports, buffers) is mostly over after a moment. */
    private static final long LOCAL_FAILURE_RETRY_DELAY_TICKS = 200;

    private final EventLoop loop;
    private final NioSocketConnector connector;
    private final EndpointPoolRegistry pools;
    private final ConnectionLimiter limiter;
    private final long connectTimeoutTicks;
    private final long restAfterResponseTicks;
    private final Consumer<EndpointConnection> onConnected;

    /** Creates an opener; each new connection goes to {@code onConnected}. */
    ConnectionOpener(
            UpstreamSettings settings,
            EventLoop loop,
            NioSocketConnector connector,
            EndpointPoolRegistry pools,
            ConnectionLimiter limiter,
            Consumer<EndpointConnection> onConnected) {
        this.loop = loop;
        this.connector = connector;
        this.pools = pools;
        this.limiter = limiter;
        this.connectTimeoutTicks =
                Math.max(MIN_CONNECT_TIMEOUT_TICKS, settings.connectTimeoutTicks() * CONNECT_TIMEOUT_FACTOR);
        this.restAfterResponseTicks = settings.restAfterResponseTicks();
        this.onConnected = onConnected;
    }

    /** Starts opening as many connections as the pool's waiting exchanges need and the limits allow. */
    void openFor(EndpointConnectionPool pool) {
        while (pool.needsConnection()) {
            if (limiter.isFull()) {
                limiter.addStarved(pool);
                pools.closeLongestIdle();
                return;
            }
            pool.connectStarted();
            try {
                connect(pool);
            } catch (RuntimeException e) {
                LOG.error("cannot start a connection to {}", pool.address().socketAddress(), e);
                loop.post(() -> connectFailed(pool, false));
                return;
            }
        }
    }

    /** Opens connections for the pool that has waited longest for the common limit. */
    void openForStarvedPool() {
        EndpointConnectionPool starved = limiter.pollStarved();
        if (starved != null) {
            openFor(starved);
        }
    }

    private void connect(EndpointConnectionPool pool) {
        ConnectAttempt.start(
                connector,
                loop,
                loop::post,
                connectTimeoutTicks,
                Objects.requireNonNull(pool.address().socketAddress(), "an endpoint without an address"),
                session -> {},
                new PoolConnectListener(pool));
    }

    private final class PoolConnectListener implements ConnectAttempt.Listener {
        private final EndpointConnectionPool pool;

        PoolConnectListener(EndpointConnectionPool pool) {
            this.pool = pool;
        }

        @Override
        public void connected(IoSession session) {
            ConnectionOpener.this.connected(pool, session);
        }

        @Override
        public void failed(Throwable cause) {
            connectFailed(pool, isEndpointFailure(cause));
        }

        @Override
        public void timedOut() {
            connectTimedOut(pool);
        }
    }

    private void connected(EndpointConnectionPool pool, IoSession session) {
        pool.connectEnded();
        if (EndpointConnection.wasClosedUnattached(session)) {
            pool.unusedConnectionClosed();
            openFor(pool);
            return;
        }
        pool.connectionOpened();
        // no response came on it, so it needs no rest
        onConnected.accept(EndpointConnection.attach(pool, session, loop.nowTicks() - restAfterResponseTicks));
    }

    /** The waiting exchanges have timeouts of their own, and mostly began to wait after this connect did. */
    private void connectTimedOut(EndpointConnectionPool pool) {
        pool.connectEnded();
        openFor(pool);
        openForStarvedPool();
    }

    private void connectFailed(EndpointConnectionPool pool, boolean endpointFailure) {
        pool.connectEnded();
        Exchange first = pool.peekWaiting();
        if (first != null && !endpointFailure && first.countUnsentFailure()) {
            loop.schedule(loop.nowTicks() + LOCAL_FAILURE_RETRY_DELAY_TICKS, () -> openFor(pool));
        } else {
            if (first != null) {
                pool.pollWaiting();
                first.end(endpointFailure ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.NOT_SENT, null);
            }
            openFor(pool);
        }
        openForStarvedPool();
    }

    /** Refused and unreachable are the endpoint's failures; a lack of descriptors, ports or buffers is this host's. */
    private static boolean isEndpointFailure(Throwable cause) {
        return cause instanceof ConnectException || cause instanceof NoRouteToHostException;
    }
}
