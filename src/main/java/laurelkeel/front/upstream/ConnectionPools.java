package laurelkeel.front.upstream;

import java.util.Map;
import java.util.concurrent.Executor;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.wire.ByteBudget;
import laurelkeel.wire.HttpCodec;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import org.jspecify.annotations.Nullable;

/**
 * Connection pools for all endpoints. If no byte of a request was written to the network, the endpoint cannot have executed it.
 * If the connection ends after that, the request may have been executed, even if the connection had been idle before.
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
     * @param threads runs the connector
     * @param processors run the I/O of the connections; disposed of by {@link #close}
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
        // disabled: MINA measures it by the wall clock, which may be stepped, and each attempt has its own timeout
        connector.getSessionConfig().setWriteTimeout(0);
        connector.getSessionConfig().setReadBufferSize(READ_BUFFER_BYTES);
        connector.getSessionConfig().setMaxReadBufferSize(MAX_READ_BUFFER_BYTES);
        connector.getFilterChain().addLast("http", HttpCodec.client(settings.httpLimits(), bodyBudget));
        return connector;
    }

    /** Starts the periodic closing of connections whose idle timeout has expired. */
    public void startSweeps() {
        reaper.start();
    }

    /** Closes all connections and releases the processors. */
    public void close() {
        connector.dispose(false);
        // runs on another thread: dispose() waits for the processors' threads, and forever if one of them has died
        threads.execute(processors::dispose);
    }

    /**
     * Sends a request to an endpoint, on an idle connection or a new one.
     *
     * @param listener receives the result of the exchange
     */
    public Exchange startExchange(EndpointAddress address, OutgoingRequest request, Exchange.Listener listener) {
        EndpointConnectionPool pool = pools.getOrCreate(address);
        Exchange exchange = new Exchange(pool, request, listener);
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
     * @param key the key of its {@link EndpointAddress}
     */
    public void closeIdle(String key) {
        pools.closeIdle(key);
    }

    /** Returns the number of bytes reserved for complete and partial response bodies. Thread-safe. */
    public long bodyBytes() {
        return bodyBudget.reservedBytes();
    }

    /**
     * Releases the body of a response that has been forwarded or is not needed. Thread-safe.
     *
     * @param response null if there is none
     */
    public void releaseBody(@Nullable EndpointResponse response) {
        if (response != null) {
            response.releaseBody(bodyBudget);
        }
    }

    /**
     * Describes the state of the pools for log output.
     *
     * @return by address key: the numbers of open connections, idle connections, pending connects and waiting exchanges,
     *     separated by slashes
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
