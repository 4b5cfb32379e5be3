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
 * Accepts connections from clients, hands each request to its listener when its turn has come, and writes the responses.
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
    private final EarlyRejections rejections;
    private final ClientConnectionTable connections;
    private final IdleConnectionCloser closer;
    private final ConnectionSweeper sweeper;
    private final ResponseSender responses;

    /**
     * Creates an ingress that does not listen yet.
     *
     * @param threads run the acceptor
     * @param processors run the I/O of the connections; disposed of at {@link #close}
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
                new ConnectionAdmission(settings, loop::clockTicks, connections, closer, rejections),
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
        // a drain closes the port first, and still answers requests on open connections
        acceptor.setCloseOnDeactivation(false);
        acceptor.getSessionConfig().setTcpNoDelay(true);
        acceptor.getSessionConfig().setReadBufferSize(READ_BUFFER_BYTES);
        acceptor.getSessionConfig().setMaxReadBufferSize(MAX_READ_BUFFER_BYTES);
        // off: MINA measures it by the wall clock, which may be stepped; the sweeper bounds writes
        acceptor.getSessionConfig().setWriteTimeout(0);
        acceptor.getFilterChain().addLast("http", HttpCodec.server(settings.httpLimits(), bodyBudget));
        return acceptor;
    }

    /**
     * Starts to listen.
     *
     * @return the address with its actual port
     * @throws IOException where the address cannot be bound
     */
    public InetSocketAddress bind() throws IOException {
        acceptor.bind(settings.listenAddress());
        return acceptor.getLocalAddress();
    }

    /** Stops listening; open connections stay open. */
    public void unbind() {
        acceptor.unbind();
    }

    /** Starts closing connections that are past their timeouts. */
    public void startSweeps() {
        sweeper.start();
    }

    /** Sweeps now, and schedules the next sweep; on the event loop's thread. */
    void sweep() {
        sweeper.sweep();
    }

    /** Closes the connections that have no request in progress or read in part. */
    public void closeIdle() {
        closer.closeAllIdle(CloseReason.DRAINED);
    }

    /** Closes all connections once the pending responses are written, or after a second. */
    public void close() {
        long deadlineNanos = System.nanoTime() + CLOSE_FLUSH_NANOS;
        while (System.nanoTime() < deadlineNanos && hasPendingWrites()) {
            LockSupport.parkNanos(CLOSE_POLL_NANOS);
        }
        acceptor.dispose(false);
        // waits for its threads, without end where one of them died
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
     * Sends the final response to the request in progress on a connection; the next one there begins once this is written.
     *
     * @param last whether to close the connection behind it
     */
    public void answer(ClientConnection connection, boolean last, HttpResponse response) {
        responses.answer(connection, last, response);
    }

    /**
     * Sends an endpoint's response as the final response to the request in progress on a connection.
     *
     * @param last whether to close the connection behind it
     * @param ownHeaders header lines of this node, which follow those of the endpoint
     * @param onDone run once the response is written or never will be, on any thread
     */
    public void forward(
            ClientConnection connection,
            boolean last,
            ForwardedMessage response,
            MessageBuilder ownHeaders,
            Runnable onDone) {
        responses.forward(connection, last, response, ownHeaders, onDone);
    }

    /** Writes the responses of this turn of the event loop. */
    public void flush() {
        responses.flush();
    }

    /** Returns the number of connections that occupy a slot. */
    public int openConnections() {
        return connections.occupiedSlots();
    }

    /** Returns how many connections have ended since the start, by reason. */
    public Map<CloseReason, Long> closedConnections() {
        return connections.closedConnections();
    }

    /** Returns how many accepts have failed since the start. */
    public int failedAccepts() {
        return acceptor.failedAccepts();
    }

    /** Returns how many requests and connections were rejected since the start before any decision about them. */
    public int rejectedBeforeDecision() {
        return rejections.count();
    }

    /** Returns the bytes reserved for the bodies of requests, complete or partial. */
    public long bodyBytes() {
        return bodyBudget.reservedBytes();
    }

    /** Releases the body of a request that has ended. */
    public void releaseBody(ClientRequest request) {
        request.releaseBody(bodyBudget);
    }

    /** Returns how many connections have read a request in part. */
    int partialRequests() {
        return connections.partialRequests();
    }

    NioSocketAcceptor acceptor() {
        return acceptor;
    }
}
