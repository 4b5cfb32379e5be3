package laurelkeel.front.upstream;

import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Ticks;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.wire.ByteBudget;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import org.jspecify.annotations.Nullable;

/**
 * Assigns exchanges to connections, and ends exchanges according to the events on their connections.
 *
 * <p>Not thread-safe; called on the event loop's thread.
 */
final class ExchangeDispatcher {
    /** How long after an empty response its body may still arrive if the stated length is too short. */
    private static final long CONFIRMATION_TICKS = 10 * Ticks.PER_MILLISECOND;

    private final EventLoop loop;
    private final ConnectionLimiter limiter;
    private final ByteBudget bodyBudget;
    private final ConnectionOpener opener;
    private final long connectTimeoutTicks;
    private final long reuseDelayTicks;

    ExchangeDispatcher(
            UpstreamSettings settings,
            EventLoop loop,
            NioSocketConnector connector,
            EndpointPoolRegistry pools,
            ConnectionLimiter limiter,
            ByteBudget bodyBudget) {
        this.loop = loop;
        this.limiter = limiter;
        this.bodyBudget = bodyBudget;
        this.connectTimeoutTicks = settings.connectTimeoutTicks();
        this.reuseDelayTicks = settings.reuseDelayTicks();
        this.opener = new ConnectionOpener(settings, loop, connector, pools, limiter, this::connectionAvailable);
    }

    /** Sends an exchange on an idle connection, or queues it until a connection is available. */
    void dispatch(Exchange exchange) {
        EndpointConnectionPool pool = exchange.pool();
        EndpointConnection idle = pool.pollIdle(loop.nowTicks() - reuseDelayTicks);
        if (idle != null) {
            if (!send(idle, exchange)) {
                connectionAvailable(idle);
            }
            return;
        }
        pool.addWaiting(exchange);
        if (!exchange.hasConnectTimeout()) {
            exchange.setConnectTimeout(
                    loop.schedule(loop.nowTicks() + connectTimeoutTicks, () -> connectTimedOut(exchange)));
        }
        opener.openFor(pool);
    }

    private void connectTimedOut(Exchange exchange) {
        EndpointConnectionPool pool = exchange.pool();
        pool.removeWaiting(exchange);
        // while the pool waits for the limit on all connections, the timeout does not indicate a fault of its endpoint
        exchange.end(limiter.isStarved(pool) ? AttemptOutcome.NOT_SENT : AttemptOutcome.CONNECT_FAILED, null);
    }

    /** Returns false if the exchange may no longer be sent or cannot be built; its listener is called in a later task. */
    private boolean send(EndpointConnection connection, Exchange exchange) {
        byte[] message = exchange.createMessage();
        if (message == null) {
            loop.post(() -> exchange.end(AttemptOutcome.NOT_SENT, null));
            return false;
        }
        connection.send(exchange, message, loop.nowTicks());
        return true;
    }

    /** Uses a free connection for the next waiting exchange, closes it if another pool needs the capacity, or makes it idle. */
    private void connectionAvailable(EndpointConnection connection) {
        if (!connection.isUsable()) {
            return;
        }
        EndpointConnectionPool pool = connection.pool();
        for (Exchange next = pool.pollWaiting(); next != null; next = pool.pollWaiting()) {
            if (send(connection, next)) {
                return;
            }
        }
        if (limiter.hasStarvedPools()) {
            connection.close();
            return;
        }
        pool.addIdle(connection);
    }

    /**
     * Keeps a response whose empty body its head alone cannot confirm: if the stated length is too short, the body follows. The
     * end is confirmed by the end of the connection, or if no further bytes arrive for {@link #CONFIRMATION_TICKS}.
     */
    void holdResponse(EndpointConnection connection, EndpointResponse response) {
        connection.holdResponse(
                response, loop.schedule(loop.nowTicks() + CONFIRMATION_TICKS, () -> confirmHeldResponse(connection)));
    }

    /** Ends the exchange on a connection with the response that it holds, if any. */
    void confirmHeldResponse(EndpointConnection connection) {
        EndpointResponse held = connection.takeHeldResponse();
        if (held != null) {
            responseReceived(connection, held);
        }
    }

    /** Ends the exchange on a connection with its response, and makes the connection available after the reuse delay. */
    void responseReceived(EndpointConnection connection, EndpointResponse response) {
        Exchange exchange = connection.takeExchange();
        if (exchange == null) {
            // no exchange is in progress: this response belongs to no request
            response.releaseBody(bodyBudget);
            connection.close();
            return;
        }
        exchange.detachFromConnection();
        if (response.closesConnection()) {
            connection.close();
        } else {
            delayReuse(connection);
        }
        if (exchange.hasEnded()) {
            response.releaseBody(bodyBudget);
        }
        exchange.end(response.outcome(), response);
    }

    /** Keeps a connection idle for the reuse delay: surplus bytes after a response must not be read as the next response. */
    private void delayReuse(EndpointConnection connection) {
        if (!connection.isUsable()) {
            return;
        }
        connection.setIdleSince(loop.nowTicks());
        if (reuseDelayTicks == 0) {
            connectionAvailable(connection);
            return;
        }
        EndpointConnectionPool pool = connection.pool();
        pool.addIdle(connection);
        if (pool.hasWaiting() || limiter.hasStarvedPools()) {
            loop.schedule(loop.nowTicks() + reuseDelayTicks, () -> {
                if (pool.removeIdle(connection)) {
                    connectionAvailable(connection);
                }
            });
        }
    }

    /** Ends the exchange on a connection whose input is invalid, and closes the connection. */
    void responseUnreadable(EndpointConnection connection, AttemptOutcome outcome) {
        Exchange exchange = connection.takeExchange();
        connection.takeHeldResponse();
        connection.close();
        if (exchange != null) {
            exchange.detachFromConnection();
            exchange.end(outcome, null);
        }
    }

    /** Ends or redispatches the exchange on a connection that has closed, and uses the freed capacity for waiting exchanges. */
    void connectionClosed(EndpointConnection connection) {
        if (!connection.markClosed()) {
            return;
        }
        EndpointConnectionPool pool = connection.pool();
        pool.connectionClosed(connection);
        confirmHeldResponse(connection);
        exchangeInterrupted(connection, connection.takeExchange());
        if (!connection.wasUsed()) {
            pool.unusedConnectionClosed();
        }
        opener.openFor(pool);
        opener.openForStarvedPool();
    }

    private void exchangeInterrupted(EndpointConnection connection, @Nullable Exchange exchange) {
        if (exchange == null || exchange.hasEnded()) {
            return;
        }
        exchange.detachFromConnection();
        if (connection.hasWrittenExchange()) {
            exchange.end(AttemptOutcome.CONNECTION_LOST, null);
        } else if (exchange.countUnsentFailure()) {
            dispatch(exchange);
        } else {
            exchange.end(AttemptOutcome.CONNECT_FAILED, null);
        }
    }
}
