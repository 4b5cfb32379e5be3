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
 * Opens connections for waiting exchanges, within the limit for each endpoint and the limit for all endpoints together.
 *
 * <p>Not thread-safe; called on the event loop's thread.
 */
final class ConnectionOpener {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionOpener.class);
    /**
     * Timeout of a connect, as a multiple of the time that an exchange waits for a connection. A connect that completes after
     * its exchange has given up is still of use: both sides have borne its cost, and it serves the next exchange.
     */
    private static final int CONNECT_TIMEOUT_FACTOR = 2;

    private static final long MIN_CONNECT_TIMEOUT_TICKS = 10;

    /** Delay before a connect that failed locally is retried: a shortage of descriptors, ports or buffers is usually brief. */
    private static final long LOCAL_FAILURE_RETRY_DELAY_TICKS = 200;

    private final EventLoop loop;
    private final NioSocketConnector connector;
    private final EndpointPoolRegistry pools;
    private final ConnectionLimiter limiter;
    private final long connectTimeoutTicks;
    private final long reuseDelayTicks;
    private final Consumer<EndpointConnection> onConnected;

    /**
     * Creates an opener.
     *
     * @param onConnected receives each new connection
     */
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
        this.reuseDelayTicks = settings.reuseDelayTicks();
        this.onConnected = onConnected;
    }

    /** Starts as many connects as the pool's waiting exchanges need and the limits allow. */
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
                LOG.error("cannot start connecting to {}", pool.address().socketAddress(), e);
                loop.post(() -> connectFailed(pool, false));
                return;
            }
        }
    }

    /** Opens connections for the pool that has waited longest for the limit on all connections. */
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
                Objects.requireNonNull(pool.address().socketAddress(), "endpoint has no socket address"),
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
        // a new connection has carried no response, so that it can be used without the reuse delay
        onConnected.accept(EndpointConnection.attach(pool, session, loop.nowTicks() - reuseDelayTicks));
    }

    /** Ends no exchange: the waiting ones have their own timeouts, and most began to wait after this connect started. */
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

    /**
     * Returns whether the endpoint caused a failed connect, by refusing it or being unreachable. Other causes, such as a lack
     * of descriptors, ports or buffers, are local to this host.
     */
    private static boolean isEndpointFailure(Throwable cause) {
        return cause instanceof ConnectException || cause instanceof NoRouteToHostException;
    }
}
