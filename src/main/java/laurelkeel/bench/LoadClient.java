package laurelkeel.bench;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpCodec;
import laurelkeel.wire.HttpLimits;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;

/**
 * Load on one address. Full: each connection asks again as soon as it is answered. At a rate: reqs are due at even
 * moments whatever the answers do, and a late one's time counts from when it was due.
 */
final class LoadClient implements AutoCloseable {
    private static final AttributeKey DUE = new AttributeKey(LoadClient.class, "due");

    private final NioSocketConnector connector = new NioSocketConnector(3);
    private final List<IoSession> sessions = new ArrayList<>();
    private final ConcurrentLinkedQueue<IoSession> idle = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Long> waiting = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean again = new AtomicBoolean();
    private final LongAdder completed = new LongAdder(), other = new LongAdder();
    private volatile Histogram times = new ConcurrentHistogram(60_000_000_000L, 3);
    private final LongAdder ids = new LongAdder();

    LoadClient(InetSocketAddress at, int connections) throws IOException {
        connector.getSessionConfig().setTcpNoDelay(true);
        connector.getFilterChain().addLast("http", HttpCodec.client(HttpLimits.DEFAULT));
        connector.setHandler(new IoHandlerAdapter() {
            @Override
            public void messageReceived(IoSession session, Object message) {
                if (message instanceof HttpResponse a) {
                    times.recordValue(System.nanoTime() - (long) session.getAttribute(DUE));
                    (a.status() == 200 ? completed : other).increment();
                    if (again.get()) {
                        ask(session, System.nanoTime());
                    } else {
                        Long due = waiting.poll();
                        if (due != null) {
                            ask(session, due);
                        } else {
                            idle.add(session);
                        }
                    }
                }
            }

            @Override
            public void exceptionCaught(IoSession session, Throwable cause) {
                other.increment();
                session.closeNow();
            }
        });
        for (int i = 0; i < connections; i++) {
            ConnectFuture f = connector.connect(at).awaitUninterruptibly();
            if (!f.isConnected()) {
                throw new IOException("connection " + i + " failed", f.getException());
            }
            sessions.add(f.getSession());
        }
        idle.addAll(sessions);
    }

    private void ask(IoSession session, long due) {
        session.setAttribute(DUE, due);
        ids.increment();
        session.write(new HttpRequest(
                "GET", "/look/1", 1, Headers.of("Host", "f", "Laurelkeel-Key", "k" + due % 5000), new byte[0]));
    }

    /** What one phase did; times in nanoseconds. */
    record Result(double perSecond, long completed, long other, Histogram times) {}

    private Result measured(double seconds, long from, long otherFrom, Histogram h) {
        return new Result((completed.sum() - from) / seconds, completed.sum() - from, other.sum() - otherFrom, h);
    }

    /** All connections busy: first to warm up, then measured. measuring runs at both ends of the measured time. */
    Result full(double warm, double seconds, Runnable measuring) {
        again.set(true);
        for (IoSession s; (s = idle.poll()) != null; ) {
            ask(s, System.nanoTime());
        }
        rest(warm);
        Result r = phase(seconds, measuring);
        again.set(false);
        settle();
        return r;
    }

    private Result phase(double seconds, Runnable measuring) {
        measuring.run();
        Histogram h = new ConcurrentHistogram(60_000_000_000L, 3);
        long from = completed.sum(), otherFrom = other.sum(), start = System.nanoTime();
        times = h;
        rest(seconds);
        Result r = measured((System.nanoTime() - start) / 1e9, from, otherFrom, h);
        measuring.run();
        return r;
    }

    Result atRate(double perSecond, double warm, double seconds, Runnable measuring) {
        AtomicBoolean over = new AtomicBoolean();
        Thread pace = new Thread(
                () -> {
                    long gap = (long) (1e9 / perSecond);
                    for (long due = System.nanoTime(); !over.get(); due += gap) {
                        while (System.nanoTime() < due) {
                            LockSupport.parkNanos(Math.max(1, due - System.nanoTime() - 20_000));
                        }
                        IoSession s = idle.poll();
                        if (s != null) {
                            ask(s, due);
                        } else {
                            waiting.add(due);
                        }
                    }
                },
                "pace");
        pace.start();
        rest(warm);
        Result r = phase(seconds, measuring);
        over.set(true);
        settle();
        return r;
    }

    private void settle() {
        long end = System.nanoTime() + 5_000_000_000L;
        while (idle.size() < sessions.size() && System.nanoTime() < end) {
            LockSupport.parkNanos(1_000_000);
        }
    }

    private static void rest(double seconds) {
        long end = System.nanoTime() + (long) (seconds * 1e9);
        while (System.nanoTime() < end) {
            LockSupport.parkNanos(Math.max(1, end - System.nanoTime()));
        }
    }

    @Override
    public void close() {
        connector.dispose(false);
    }
}
