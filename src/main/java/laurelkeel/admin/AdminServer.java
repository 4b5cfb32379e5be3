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

/** The small address for operators: /health and /metrics. One slow or silent caller keeps no other waiting. */
public final class AdminServer {
    /** More callers at once are no operators: a scraper or two, a load balancer's checks, a person. */
    private static final int MOST = 64;
    /** Seconds in which a caller must have had an answer: longer than any check waits, and no slot is kept for ever. */
    private static final int WAITS = 5;
    /** A request line and some headers; there are no bodies to read. */
    private static final HttpLimits LIMITS = new HttpLimits(1 << 10, 8 << 10, 50, 0);

    private final InetSocketAddress at;
    private final Supplier<String> health, metrics;
    private final Executor threads;
    private final SimpleIoProcessorPool<NioSession> processor;
    private final NioSocketAcceptor acceptor;

    /** @param threads run its sockets */
    public AdminServer(Executor threads, InetSocketAddress at, Supplier<String> health, Supplier<String> metrics) {
        this.threads = threads;
        this.at = at;
        this.health = health;
        this.metrics = metrics;
        processor = new SimpleIoProcessorPool<>(NioProcessor.class, threads, 1, null);
        acceptor = new NioSocketAcceptor(threads, processor);
        acceptor.setReuseAddress(true);
        // not by what is read: a caller that sends a byte now and then would stay for ever
        acceptor.getSessionConfig().setWriterIdleTime(WAITS);
        acceptor.getSessionConfig().setWriteTimeout(WAITS);
        acceptor.getFilterChain().addLast("http", HttpCodec.server(LIMITS));
        acceptor.setHandler(new Handler());
    }

    private final class Handler extends IoHandlerAdapter {
        @Override
        public void sessionOpened(IoSession session) {
            if (acceptor.getManagedSessionCount() > MOST) {
                session.closeNow();
            }
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            if (message instanceof HttpRequest r) {
                session.write(answer(r));
                if (r.closesConnection()) {
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

    private HttpResponse answer(HttpRequest r) {
        boolean get = r.method().equals("GET") || r.method().equals("HEAD");
        String h = r.path().equals("/health") ? health.get() : null;
        String text = !get
                ? "this address takes GET\n"
                : h != null
                        ? h + "\n"
                        : r.path().equals("/metrics") ? metrics.get() : "here are /health and /metrics\n";
        int status =
                !get ? 405 : h != null ? h.equals("ok") ? 200 : 503 : r.path().equals("/metrics") ? 200 : 404;
        Headers headers = Headers.of("Content-Type", "text/plain; version=0.0.4; charset=utf-8");
        if (r.closesConnection()) {
            headers.add("Connection", "close");
        }
        return new HttpResponse(
                status,
                1,
                headers,
                text.getBytes(StandardCharsets.UTF_8),
                r.method().equals("HEAD"));
    }

    /** Its address, with the real port once it is started. */
    public InetSocketAddress address() {
        return acceptor.isActive() ? acceptor.getLocalAddress() : at;
    }

    public void start() throws IOException {
        acceptor.bind(at);
    }

    public void close() {
        acceptor.dispose(false);
        // it waits for its thread, for ever where that died
        threads.execute(processor::dispose);
    }
}
