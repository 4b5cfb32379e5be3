package laurelkeel.front.ingress;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.LockSupport;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.wire.ByteBudget;
import laurelkeel.wire.ForwardedMessage;
import laurelkeel.wire.HttpCodec;
import laurelkeel.wire.HttpResponse;
import laurelkeel.wire.MessageBuilder;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * Accepts connections from clients, passes each request to the listener when it is the next one on its connection, and writes
 * the responses.
 *
 * <p>Threading: {@link #startSweeps}, {@link #answer}, {@link #forward} and {@link #flush} are called on the event loop's
 * thread; all other methods are thread-safe.
 */
public final class Ingress {
    private static final int LISTEN_BACKLOG = 8192;
    private static final int READ_BUFFER_BYTES = 2 << 10;
    private static final int MAX_READ_BUFFER_BYTES = 16 << 10;
    private static final long CLOSE_FLUSH_NANOS = 1_000_000_000L;
    private static final long CLOSE_POLL_NANOS = 2_000_000;

    private final IngressSettings settings;
    private final Executor threads;
    private final SimpleIoProcessorPool<NioSession> processors;
    private final ClientAcceptor acceptor;
    private final ByteBudget bodyBudget = ByteBudget.eighthOfHeap();
    private final ByteBudget readAheadBudget = ByteBudget.sixteenthOfHeap();
    private final EarlyRejections rejections;
    private final ClientConnectionTable connections;
    private final IdleConnectionCloser closer;
    private final ConnectionSweeper sweeper;
    private final ResponseSender responses;

    /**
     * Creates an ingress that is not listening yet.
     *
     * @param threads runs the acceptor
     * @param processors run the I/O of the connections; disposed of by {@link #close}
     */
    public Ingress(
            IngressSettings settings,
            ClientProtocol protocol,
            EventLoop loop,
            Executor threads,
            SimpleIoProcessorPool<NioSession> processors,
            IngressListener listener) {
        this.settings = settings;
        this.threads = threads;
        this.processors = processors;
        acceptor = createAcceptor(settings, threads, processors, bodyBudget);
        rejections = new EarlyRejections(protocol);
        connections = new ClientConnectionTable(acceptor);
        closer = new IdleConnectionCloser(connections);
        sweeper = new ConnectionSweeper(settings, protocol, loop, connections, closer);
        RequestPipeline pipeline = new RequestPipeline(settings, protocol, loop, listener, rejections, bodyBudget);
        responses = new ResponseSender(loop, listener, pipeline);
        acceptor.setHandler(new ClientIoHandler(
                loop,
                acceptor,
                connections,
                new ConnectionAdmission(settings, loop::clockTicks, connections, closer, rejections, readAheadBudget),
                new RequestReader(protocol, rejections, bodyBudget),
                pipeline,
                responses));
    }

    private static ClientAcceptor createAcceptor(
            IngressSettings settings,
            Executor threads,
            SimpleIoProcessorPool<NioSession> processors,
            ByteBudget bodyBudget) {
        ClientAcceptor acceptor =
                new ClientAcceptor(threads, processors, settings.maxConnections() + settings.spareConnections() + 1);
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(LISTEN_BACKLOG);
        // a drain closes the listening socket first, and still answers requests on open connections
        acceptor.setCloseOnDeactivation(false);
        acceptor.getSessionConfig().setTcpNoDelay(true);
        acceptor.getSessionConfig().setReadBufferSize(READ_BUFFER_BYTES);
        acceptor.getSessionConfig().setMaxReadBufferSize(MAX_READ_BUFFER_BYTES);
        // disabled: MINA measures it by the wall clock, which may be stepped; ConnectionSweeper enforces the write
        // timeout
        acceptor.getSessionConfig().setWriteTimeout(0);
        acceptor.getFilterChain().addLast("read-ahead", new ReadAheadFilter());
        acceptor.getFilterChain().addLast("http", HttpCodec.server(settings.httpLimits(), bodyBudget));
        return acceptor;
    }

    /**
     * Starts listening.
     *
     * @return the bound address, with the actual port
     * @throws IOException if the address cannot be bound
     */
    public InetSocketAddress bind() throws IOException {
        acceptor.bind(settings.listenAddress());
        return acceptor.getLocalAddress();
    }

    /** Stops listening; open connections stay open. */
    public void unbind() {
        acceptor.unbind();
    }

    /** Starts the periodic check that closes connections whose timeouts have expired. */
    public void startSweeps() {
        sweeper.start();
    }

    /** Closes connections whose timeouts have expired, and schedules the next check; called on the event loop's thread. */
    void sweep() {
        sweeper.sweep();
    }

    /** Closes all connections that have neither a request in progress nor a partially read one. */
    public void closeIdle() {
        closer.closeAllIdle(CloseReason.DRAINED);
    }

    /** Closes all connections when the pending responses are written, or after one second at the latest. */
    public void close() {
        long deadlineNanos = System.nanoTime() + CLOSE_FLUSH_NANOS;
        while (System.nanoTime() < deadlineNanos && hasPendingWrites()) {
            LockSupport.parkNanos(CLOSE_POLL_NANOS);
        }
        connections.forEach(connection -> connection.recordCloseReason(CloseReason.NODE_STOPPED));
        acceptor.dispose(false);
        // on another thread: dispose() waits for the processors' threads, and never returns if one of them has died
        threads.execute(processors::dispose);
    }

    private boolean hasPendingWrites() {
        for (IoSession session : acceptor.getManagedSessions().values()) {
            if (session.isConnected() && session.getScheduledWriteMessages() > 0) {
                return true;
            }
        }
        return false;
    }

    /**
     * Sends the final response to the request in progress on a connection. The next request there starts when the response
     * is written.
     *
     * @param last whether to close the connection after the response
     */
    public void answer(ClientConnection connection, boolean last, HttpResponse response) {
        responses.answer(connection, last, response);
    }

    /**
     * Sends an endpoint's response as the final response to the request in progress on a connection.
     *
     * @param last whether to close the connection after the response
     * @param ownHeaders header lines added by this node, which follow those of the endpoint
     * @param onDone run on any thread when the response is written or can no longer be written
     */
    public void forward(
            ClientConnection connection,
            boolean last,
            ForwardedMessage response,
            MessageBuilder ownHeaders,
            Runnable onDone) {
        responses.forward(connection, last, response, ownHeaders, onDone);
    }

    /** Writes the responses that were collected in this turn of the event loop. */
    public void flush() {
        responses.flush();
    }

    /** Returns the number of connections that occupy a slot. */
    public int openConnections() {
        return connections.occupiedSlots();
    }

    /** Returns the number of connections that have ended since the start, by reason. */
    public Map<CloseReason, Long> closedConnections() {
        return connections.closedConnections();
    }

    /** Returns the number of failed accepts since the start. */
    public int failedAccepts() {
        return acceptor.failedAccepts();
    }

    /** Returns the number of requests and connections rejected before any routing decision, since the start. */
    public int rejectedBeforeDecision() {
        return rejections.count();
    }

    /** Returns the number of bytes reserved for complete and partial request bodies. */
    public long bodyBytes() {
        return bodyBudget.reservedBytes();
    }

    /** Returns the number of bytes that connections hold undecoded. */
    public long readAheadBytes() {
        return readAheadBudget.reservedBytes();
    }

    /** Releases the memory reserved for the body of a request that has ended. */
    public void releaseBody(ClientRequest request) {
        request.releaseBody(bodyBudget);
    }

    /** Returns the number of connections with a partially read request. */
    int partialRequests() {
        return connections.partialRequests();
    }

    NioSocketAcceptor acceptor() {
        return acceptor;
    }
}
