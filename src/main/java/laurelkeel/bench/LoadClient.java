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
 * Generates load on one address over a fixed number of connections, in one of two ways. In a closed loop, each
 * connection sends its next request as soon as the previous one is answered. At a fixed rate, requests are due at even
 * intervals, independent of the answers, and latency is measured from the time a request was due, even if it was sent
 * later. The methods that run a phase must be called by one thread.
 */
final class LoadClient implements AutoCloseable {
    private static final AttributeKey DUE_NANOS = new AttributeKey(LoadClient.class, "due");
    private static final int PROCESSORS = 3;
    private static final int HTTP_OK = 200;
    private static final int PARTITION_KEYS = 5_000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long MAX_LATENCY_NANOS = 60_000_000_000L;
    private static final int LATENCY_DIGITS = 3;
    private static final long MAX_IDLE_WAIT_NANOS = 5_000_000_000L;
    private static final long IDLE_POLL_NANOS = 1_000_000;
    /** How long before a request is due the pacing thread wakes up. */
    private static final long EARLY_WAKE_NANOS = 20_000;

    private final NioSocketConnector connector = new NioSocketConnector(PROCESSORS);
    private final List<IoSession> sessions = new ArrayList<>();
    private final ConcurrentLinkedQueue<IoSession> idleSessions = new ConcurrentLinkedQueue<>();
    /** Due times of requests that are waiting for an idle connection. */
    private final ConcurrentLinkedQueue<Long> waitingDueNanos = new ConcurrentLinkedQueue<>();

    private final AtomicBoolean closedLoop = new AtomicBoolean();
    private final LongAdder completed = new LongAdder();
    private final LongAdder failed = new LongAdder();
    private volatile Histogram latencies = newHistogram();

    /**
     * Opens the connections.
     *
     * @throws IOException if one of them cannot be opened
     */
    LoadClient(InetSocketAddress address, int connections) throws IOException {
        connector.getSessionConfig().setTcpNoDelay(true);
        connector.getFilterChain().addLast("http", HttpCodec.client(HttpLimits.DEFAULT));
        connector.setHandler(new Handler());
        for (int i = 0; i < connections; i++) {
            ConnectFuture future = connector.connect(address).awaitUninterruptibly();
            if (!future.isConnected()) {
                throw new IOException("connection " + i + " could not be opened", future.getException());
            }
            sessions.add(future.getSession());
        }
        idleSessions.addAll(sessions);
    }

    private static Histogram newHistogram() {
        return new ConcurrentHistogram(MAX_LATENCY_NANOS, LATENCY_DIGITS);
    }

    private final class Handler extends IoHandlerAdapter {
        @Override
        public void messageReceived(IoSession session, Object message) {
            if (!(message instanceof HttpResponse response)) {
                return;
            }
            latencies.recordValue(System.nanoTime() - (long) session.getAttribute(DUE_NANOS));
            (response.status() == HTTP_OK ? completed : failed).increment();
            if (closedLoop.get()) {
                send(session, System.nanoTime());
                return;
            }
            Long dueNanos = waitingDueNanos.poll();
            if (dueNanos != null) {
                send(session, dueNanos);
            } else {
                idleSessions.add(session);
            }
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            failed.increment();
            session.closeNow();
        }
    }

    private static void send(IoSession session, long dueNanos) {
        session.setAttribute(DUE_NANOS, dueNanos);
        Headers headers = Headers.of("Host", "f", "Laurelkeel-Key", "k" + dueNanos % PARTITION_KEYS);
        session.write(new HttpRequest("GET", "/look/1", 1, headers, new byte[0]));
    }

    /**
     * The results of one phase.
     *
     * @param perSecond number of requests completed with status 200 a second
     * @param completed number of requests completed with status 200
     * @param failed number of answers with another status, and of failed connections
     * @param latencies latencies of all answers in nanoseconds
     */
    record Result(double perSecond, long completed, long failed, Histogram latencies) {}

    /**
     * Sends requests in a closed loop over all connections: first to warm up, then measured.
     *
     * @param atStartAndEnd called at the start and at the end of the measured time
     */
    Result runClosedLoop(double warmUpSeconds, double seconds, Runnable atStartAndEnd) {
        closedLoop.set(true);
        for (IoSession session = idleSessions.poll(); session != null; session = idleSessions.poll()) {
            send(session, System.nanoTime());
        }
        pause(warmUpSeconds);
        Result result = measure(seconds, atStartAndEnd);
        closedLoop.set(false);
        awaitIdle();
        return result;
    }

    /** Sends requests at a fixed rate: first to warm up, then measured. */
    Result runAtRate(double perSecond, double warmUpSeconds, double seconds) {
        AtomicBoolean ended = new AtomicBoolean();
        Thread pacing = new Thread(() -> sendAtRate(perSecond, ended), "pace");
        pacing.start();
        pause(warmUpSeconds);
        Result result = measure(seconds, () -> {});
        ended.set(true);
        awaitIdle();
        return result;
    }

    private void sendAtRate(double perSecond, AtomicBoolean ended) {
        long intervalNanos = (long) (NANOS_PER_SECOND / perSecond);
        for (long dueNanos = System.nanoTime(); !ended.get(); dueNanos += intervalNanos) {
            while (System.nanoTime() < dueNanos) {
                LockSupport.parkNanos(Math.max(1, dueNanos - System.nanoTime() - EARLY_WAKE_NANOS));
            }
            IoSession session = idleSessions.poll();
            if (session != null) {
                send(session, dueNanos);
            } else {
                waitingDueNanos.add(dueNanos);
            }
        }
    }

    private Result measure(double seconds, Runnable atStartAndEnd) {
        atStartAndEnd.run();
        Histogram measured = newHistogram();
        long completedBefore = completed.sum();
        long failedBefore = failed.sum();
        long startedNanos = System.nanoTime();
        latencies = measured;
        pause(seconds);
        double elapsedSeconds = (System.nanoTime() - startedNanos) / NANOS_PER_SECOND;
        long completedNow = completed.sum() - completedBefore;
        Result result = new Result(completedNow / elapsedSeconds, completedNow, failed.sum() - failedBefore, measured);
        atStartAndEnd.run();
        return result;
    }

    /** Waits until all connections are idle, for at most {@link #MAX_IDLE_WAIT_NANOS}. */
    private void awaitIdle() {
        long limitNanos = System.nanoTime() + MAX_IDLE_WAIT_NANOS;
        while (idleSessions.size() < sessions.size() && System.nanoTime() < limitNanos) {
            LockSupport.parkNanos(IDLE_POLL_NANOS);
        }
    }

    private static void pause(double seconds) {
        long endNanos = System.nanoTime() + (long) (seconds * NANOS_PER_SECOND);
        while (System.nanoTime() < endNanos) {
            LockSupport.parkNanos(Math.max(1, endNanos - System.nanoTime()));
        }
    }

    @Override
    public void close() {
        connector.dispose(false);
    }
}
