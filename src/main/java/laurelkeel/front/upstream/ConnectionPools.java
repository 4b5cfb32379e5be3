package laurelkeel.front.upstream;

import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.wire.ByteBudget;
import laurelkeel.wire.HttpCodec;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import org.jspecify.annotations.Nullable;

/**
 * Connections to all endpoints. An exchange of which no byte was handed to the network provably never ran; one whose
 * connection ends after that may have run, even on a connection that was idle before.
 *
 * <p>Not thread-safe; called on the event loop's thread, except for {@link #bodyBytes} and {@link #releaseBody}.
 */
public final class ConnectionPools {
    private static final int READ_BUFFER_BYTES = 2 << 10;
    private static final int MAX_READ_BUFFER_BYTES = 32 << 10;

    private final EventLoop loop;
    private final Executor threads;
    private final SimpleIoProcessorPool<NioSession> processors;
    private final NioSocketConnector connector;
    private final ByteBudget bodyBudget = ByteBudget.eighthOfHeap();
    private final ConnectionLimiter limiter;
    private final EndpointPoolRegistry pools;
    private final ExchangeDispatcher dispatcher;
    private final IdleConnectionReaper reaper;

    /**
     * Creates pools without connections.
     *
     * @param threads run the connector
     * @param processors run the I/O of the connections; disposed of at {@link #close}
     */
    public ConnectionPools(
            UpstreamSettings settings,
            EndpointProtocol protocol,
            EventLoop loop,
            Executor threads,
            SimpleIoProcessorPool<NioSession> processors) {
        this.loop = loop;
        this.threads = threads;
        this.processors = processors;
        connector = createConnector(settings, threads, processors, bodyBudget);
        limiter = new ConnectionLimiter(settings.maxConnections());
        pools = new EndpointPoolRegistry(settings, limiter);
        dispatcher = new ExchangeDispatcher(settings, loop, connector, pools, limiter, bodyBudget);
        reaper = new IdleConnectionReaper(loop, pools, settings.idleTimeoutTicks());
        connector.setHandler(new EndpointIoHandler(protocol, loop, dispatcher, bodyBudget));
    }

    private static NioSocketConnector createConnector(
            UpstreamSettings settings,
            Executor threads,
            SimpleIoProcessorPool<NioSession> processors,
            ByteBudget bodyBudget) {
        NioSocketConnector connector = new NioSocketConnector(threads, processors);
        connector.setConnectTimeoutMillis(ConnectAttempt.MINA_TIMEOUT_MS);
        connector.getSessionConfig().setTcpNoDelay(true);
        // off: MINA measures it by the wall clock, which may be stepped; each attempt has a timeout of its own
        connector.getSessionConfig().setWriteTimeout(0);
        connector.getSessionConfig().setReadBufferSize(READ_BUFFER_BYTES);
        connector.getSessionConfig().setMaxReadBufferSize(MAX_READ_BUFFER_BYTES);
        connector.getFilterChain().addLast("http", HttpCodec.client(settings.httpLimits(), bodyBudget));
        return connector;
    }

    /** Starts closing connections that have been idle past their timeout. */
    public void startSweeps() {
        reaper.start();
    }

    /** Closes all connections and releases the processors. */
    public void close() {
        connector.dispose(false);
        // waits for its threads, without end where one of them died
        threads.execute(processors::dispose);
    }

    /**
     * Sends a request to an endpoint, on an idle connection or a new one.
     *
     * @param message returns the bytes of the request; called when they are sent, which may be long after, and returns null
     *     where the request may not be sent any more
     * @param headRequest whether the response has no body
     * @param listener called with the end of the exchange
     */
    public Exchange startExchange(
            EndpointAddress address,
            Supplier<byte @Nullable []> message,
            boolean headRequest,
            Exchange.Listener listener) {
        EndpointConnectionPool pool = pools.getOrCreate(address);
        Exchange exchange = new Exchange(pool, message, headRequest, listener);
        if (address.socketAddress() == null || !pool.acceptsExchange()) {
            loop.post(() -> exchange.end(AttemptOutcome.CONNECT_FAILED, null));
        } else {
            dispatcher.dispatch(exchange);
        }
        return exchange;
    }

    /**
     * Closes the idle connections to one endpoint.
     *
     * @param key of its {@link EndpointAddress}
     */
    public void closeIdle(String key) {
        pools.closeIdle(key);
    }

    /** Returns the bytes reserved for the bodies of responses, complete or partial; thread-safe. */
    public long bodyBytes() {
        return bodyBudget.reservedBytes();
    }

    /** Releases the body of a response that was forwarded or is not needed; null for none; thread-safe. */
    public void releaseBody(@Nullable EndpointResponse response) {
        if (response != null) {
            response.releaseBody(bodyBudget);
        }
    }

    /**
     * Describes the pools for logs.
     *
     * @return by address key: connections open, idle and being opened, and exchanges waiting, with slashes between
     */
    public Map<String, String> describe() {
        return pools.describe();
    }

    /** Returns the number of open connections to all endpoints. */
    public int openConnections() {
        return limiter.openConnections();
    }

    NioSocketConnector connector() {
        return connector;
    }
}
