package laurelkeel.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpCodec;
import laurelkeel.wire.HttpLimits;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.IdleStatus;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * An HTTP server that serves {@code /health} and {@code /metrics} to operators. A slow or silent caller does not delay others.
 *
 * <p>Thread-safe. The suppliers are called on the I/O thread.
 */
public final class AdminServer {
    /** Enough for metrics scrapers, health checks of load balancers, and operators. */
    private static final int MAX_CONNECTIONS = 64;
    /** Time after which a connection is closed to free its slot; longer than any health check waits for its response. */
    private static final int CALLER_TIMEOUT_SECONDS = 5;
    /** Allows a request line and some headers, but no body. */
    private static final HttpLimits LIMITS = new HttpLimits(1 << 10, 8 << 10, 50, 0);

    private static final String HEALTHY = "ok";

    private final InetSocketAddress address;
    private final Supplier<String> health;
    private final Supplier<String> metrics;
    private final Executor threads;
    private final SimpleIoProcessorPool<NioSession> processor;
    private final NioSocketAcceptor acceptor;

    /**
     * Creates a server that does not listen yet.
     *
     * @param threads runs the acceptor and the I/O of its connections
     * @param address the address to listen on; port 0 selects any free port
     * @param health returns {@code ok}, or a description of the problem
     * @param metrics returns the metrics in the Prometheus text format
     */
    public AdminServer(Executor threads, InetSocketAddress address, Supplier<String> health, Supplier<String> metrics) {
        this.threads = threads;
        this.address = address;
        this.health = health;
        this.metrics = metrics;
        processor = new SimpleIoProcessorPool<>(NioProcessor.class, threads, 1, null);
        acceptor = new NioSocketAcceptor(threads, processor);
        acceptor.setReuseAddress(true);
        // the writer's idle time, since by the reader's a caller that sends a byte now and then would stay connected
        // forever
        acceptor.getSessionConfig().setWriterIdleTime(CALLER_TIMEOUT_SECONDS);
        acceptor.getSessionConfig().setWriteTimeout(CALLER_TIMEOUT_SECONDS);
        acceptor.getFilterChain().addLast("http", HttpCodec.server(LIMITS));
        acceptor.setHandler(new Handler());
    }

    /** Returns the address to listen on, with the actual port once the server has started. */
    public InetSocketAddress address() {
        return acceptor.isActive() ? acceptor.getLocalAddress() : address;
    }

    /**
     * Starts listening.
     *
     * @throws IOException if the address cannot be bound
     */
    public void start() throws IOException {
        acceptor.bind(address);
    }

    /** Closes the listener and all connections. */
    public void close() {
        acceptor.dispose(false);
        // runs on another thread: dispose() waits for the processor's thread, and forever if it has died
        threads.execute(processor::dispose);
    }

    private HttpResponse respond(HttpRequest request) {
        if (!request.method().equals("GET") && !request.method().equals("HEAD")) {
            return response(request, 405, "this address takes GET\n");
        }
        return switch (request.path()) {
            case "/health" -> {
                String status = health.get();
                yield response(request, status.equals(HEALTHY) ? 200 : 503, status + "\n");
            }
            case "/metrics" -> response(request, 200, metrics.get());
            default -> response(request, 404, "here are /health and /metrics\n");
        };
    }

    private static HttpResponse response(HttpRequest request, int status, String text) {
        Headers headers = Headers.of("Content-Type", "text/plain; version=0.0.4; charset=utf-8");
        if (request.closesConnection()) {
            headers.add("Connection", "close");
        }
        boolean head = request.method().equals("HEAD");
        return new HttpResponse(status, 1, headers, text.getBytes(StandardCharsets.UTF_8), head);
    }

    private final class Handler extends IoHandlerAdapter {
        @Override
        public void sessionOpened(IoSession session) {
            if (acceptor.getManagedSessionCount() > MAX_CONNECTIONS) {
                session.closeNow();
            }
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            if (message instanceof HttpRequest request) {
                session.write(respond(request));
                if (request.closesConnection()) {
                    session.closeOnFlush();
                }
            } else {
                session.closeNow();
            }
        }

        @Override
        public void sessionIdle(IoSession session, IdleStatus status) {
            session.closeNow();
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }
}
