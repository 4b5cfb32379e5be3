package laurelkeel.front.ingress;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.wire.ByteBudget;
import laurelkeel.wire.ForwardedMessage;
import laurelkeel.wire.HttpCodec;
import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;
import laurelkeel.wire.MessageBuilder;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The door: reads reqs off connections, hands each to the front when its turn has come, writes final answers. */
public final class Ingress {
    private static final Logger LOG = LoggerFactory.getLogger(Ingress.class);
    private static final long SWEEP = 1_000;
    private static final int MOST_UNOPENED = 16;
    private static final AttributeKey CONN = new AttributeKey(Ingress.class, "conn");

    private final IngressSettings set;
    private final ClientProtocol words;
    private final EventLoop loop;
    private final IngressListener door;
    private final Executor threads;
    private final SimpleIoProcessorPool<NioSession> processors;
    private final ClientAcceptor acceptor;
    private final ByteBudget room = ByteBudget.eighthOfHeap();
    private final AtomicInteger openConnections = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicLongArray closedConnections = new AtomicLongArray(CloseReason.values().length);
    private final ArrayList<Runnable> writes = new ArrayList<>();

    /** @param processors run its sockets */
    public Ingress(
            IngressSettings set,
            ClientProtocol words,
            EventLoop loop,
            Executor threads,
            SimpleIoProcessorPool<NioSession> processors,
            IngressListener door) {
        this.set = set;
        this.words = words;
        this.loop = loop;
        this.threads = threads;
        this.processors = processors;
        this.door = door;
        acceptor = new ClientAcceptor(threads, processors, set.maxConnections() + set.spareConnections() + 1);
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(8192);
        // at a drain the port goes first, and what is held on open connections is still answered
        acceptor.setCloseOnDeactivation(false);
        acceptor.getSessionConfig().setTcpNoDelay(true);
        acceptor.getSessionConfig().setReadBufferSize(2048);
        acceptor.getSessionConfig().setMaxReadBufferSize(16 << 10);
        // by the wall clock, which may be stepped: sweep bounds writes
        acceptor.getSessionConfig().setWriteTimeout(0);
        acceptor.getFilterChain().addLast("http", HttpCodec.server(set.httpLimits(), room));
        acceptor.setHandler(new Handler());
    }

    /** Of the spare places, those for connections that are accepted and not yet looked at, or on their way out. */
    private static int unopened(IngressSettings set) {
        return Math.min(MOST_UNOPENED, set.spareConnections() / 4);
    }

    /** Binds and returns the address with its real port. */
    public InetSocketAddress bind() throws IOException {
        acceptor.bind(set.listenAddress());
        return acceptor.getLocalAddress();
    }

    /** Takes no new connections; those there stay. */
    public void unbind() {
        acceptor.unbind();
    }

    /** Starts closing what keeps a place without a req; on the front's thread. */
    public void startSweeps() {
        loop.schedule(loop.nowTicks() + SWEEP, this::sweep);
    }

    /**
     * Ends what has had its time, by the loop's clock: MINA's own limits go by the wall clock, and a step of that would
     * end connections under their answers. On the front's thread.
     */
    void sweep() {
        long now = loop.nowTicks();
        loop.schedule(now + SWEEP, this::sweep);
        for (IoSession s : acceptor.getManagedSessions().values()) {
            if (s.getAttribute(CONN) instanceof ClientConnection conn) {
                sweep(conn, now);
            }
        }
    }

    private void sweep(ClientConnection conn, long now) {
        int requests = conn.requests;
        if (conn.writeStalledFor(now) > set.writeTimeoutTicks()) {
            conn.closing(CloseReason.WRITE_STALLED);
            conn.session.closeNow();
        } else if (nothingOwed(conn) && !conn.retiring) {
            long half = halfFor(conn);
            long rests = now - conn.restsSince;
            if (set.partialRequestTimeoutTicks() > 0 && half > set.partialRequestTimeoutTicks()) {
                conn.closing(CloseReason.REQUEST_UNFINISHED);
                conn.write(
                        words.badRequest(new HttpProtocolException(408, "the req did not come whole in time"), null),
                        true);
            } else if (set.firstRequestTimeoutTicks() > 0
                    && half == 0
                    && requests == 0
                    && rests > set.firstRequestTimeoutTicks()) {
                retire(conn, requests, CloseReason.FIRST_REQUEST_LATE, false);
            } else if (half == 0 ? rests > set.idleTimeoutTicks() : half > set.idleTimeoutTicks()) {
                // a client that sends a byte of a request now and then would keep its place for ever
                retire(conn, requests, CloseReason.IDLE, half > 0);
            }
        }
    }

    private static boolean nothingOwed(ClientConnection c) {
        return c.owed.get() == 0 && !c.lastSaid;
    }

    /** How long a req of it has been half read; 0 where none is. */
    private static long halfFor(ClientConnection c) {
        long half = HttpCodec.partialMessageSinceNanos(c.session);
        return half == 0 ? 0 : Math.max(1, (System.nanoTime() - half) / 100_000);
    }

    /**
     * The one way to end a connection that seems to owe nothing; on any thread. It is no longer read, and then looked at
     * by the thread that reads it: a req that was read meanwhile would be lost with a close, while one that stays
     * unread is sent again elsewhere. Where one was read since, it is in use, whether that is answered by then or not.
     *
     * @param requests read off it when the reason was seen
     * @param halfToo even where a req has begun to come
     */
    private void retire(ClientConnection c, int requests, CloseReason why, boolean halfToo) {
        c.retiring = true;
        c.session.suspendRead();
        c.session.write(HttpCodec.FlushMarker.INSTANCE).addListener(f -> {
            if (nothingOwed(c)
                    && c.requests == requests
                    && (halfToo || HttpCodec.partialMessageSinceNanos(c.session) == 0)) {
                c.closing(why);
                c.session.closeOnFlush();
            } else {
                c.retiring = false;
                if (c.counted.compareAndSet(false, true)) {
                    openConnections.incrementAndGet();
                }
                readOn(c);
            }
        });
    }

    /** Unless too much of it waits, or it is being looked at. */
    private void readOn(ClientConnection c) {
        if (c.owed.get() <= set.maxPipelinedRequests() && !c.retiring && c.session.isReadSuspended()) {
            c.session.resumeRead();
        }
    }

    private void uncount(ClientConnection c) {
        if (c.counted.compareAndSet(true, false)) {
            openConnections.decrementAndGet();
        }
    }

    /**
     * All places are taken: silent connections that never asked give theirs first, the oldest of them, then those
     * idle longest. By the thread that opens one, or a burst would be over before room is made.
     */
    private void makeRoom(ClientConnection newest) {
        ClientConnection first = null;
        int requestsOfFirst = 0;
        for (IoSession s : acceptor.getManagedSessions().values()) {
            if (s.getAttribute(CONN) instanceof ClientConnection c && c != newest) {
                int requests = c.requests;
                if (mayGiveItsPlace(c, requests)
                        && (first == null || goesBefore(c, requests, first, requestsOfFirst))) {
                    first = c;
                    requestsOfFirst = requests;
                }
            }
        }
        if (first != null) {
            uncount(first);
            retire(first, requestsOfFirst, CloseReason.ROOM_NEEDED, requestsOfFirst == 0);
        }
    }

    private boolean mayGiveItsPlace(ClientConnection c, int requests) {
        boolean free = nothingOwed(c) && !c.retiring && !c.session.isClosing();
        boolean rested = HttpCodec.partialMessageSinceNanos(c.session) == 0
                && loop.clockTicks() - c.restsSince > set.minIdleTicks();
        return free && (requests == 0 || rested);
    }

    /** One that never asked before one that did; else the one that has rested for longer. */
    private static boolean goesBefore(ClientConnection a, int requestsOfA, ClientConnection b, int requestsOfB) {
        boolean silentA = requestsOfA == 0;
        boolean silentB = requestsOfB == 0;
        return silentA == silentB ? a.restsSince < b.restsSince : silentA;
    }

    /** Closes what has no req in progress or begun. */
    public void closeIdle() {
        for (IoSession s : acceptor.getManagedSessions().values()) {
            if (s.getAttribute(CONN) instanceof ClientConnection c) {
                int requests = c.requests;
                if (nothingOwed(c) && !c.retiring) {
                    retire(c, requests, CloseReason.DRAIN, false);
                }
            }
        }
    }

    /** Closes all, after what is written has left or a second has passed. */
    public void close() {
        long end = System.nanoTime() + 1_000_000_000L;
        while (System.nanoTime() < end
                && acceptor.getManagedSessions().values().stream()
                        .anyMatch(s -> s.isConnected() && s.getScheduledWriteMessages() > 0)) {
            LockSupport.parkNanos(2_000_000);
        }
        acceptor.dispose(false);
        // it waits for its threads, for ever where one of them died
        threads.execute(processors::dispose);
    }

    public int openConnections() {
        return openConnections.get();
    }

    /** Clients' connections that have ended since the start, by reason; on any thread. */
    public Map<CloseReason, Long> closedConnections() {
        Map<CloseReason, Long> out = new EnumMap<>(CloseReason.class);
        for (CloseReason why : CloseReason.values()) {
            if (closedConnections.get(why.ordinal()) > 0) {
                out.put(why, closedConnections.get(why.ordinal()));
            }
        }
        return out;
    }

    /** Accepts that failed since the start; on any thread. */
    public int failedAccepts() {
        return acceptor.failures();
    }

    /** Connections of which a req has come in part. */
    int halfRead() {
        return (int) acceptor.getManagedSessions().values().stream()
                .filter(s -> HttpCodec.partialMessageSinceNanos(s) != 0)
                .count();
    }

    NioSocketAcceptor acceptor() {
        return acceptor;
    }

    /** Bytes of reqs' bodies that are held, half read or whole. */
    public long bodyBytes() {
        return room.reservedBytes();
    }

    /** A req that was taken is over: its body is held no more. */
    public void releaseBody(ClientRequest asked) {
        room.release(asked.forwarded().body().length);
    }

    private void drop(Object message) {
        if (message instanceof ClientRequest a) {
            releaseBody(a);
        }
    }

    /** Reqs and connections turned away at the door since the start. */
    public int rejectedBeforeDecision() {
        return refused.get();
    }

    private final class Handler extends IoHandlerAdapter {
        @Override
        public void sessionOpened(IoSession session) {
            acceptor.opened();
            ClientConnection conn = new ClientConnection(session);
            conn.restsSince = loop.clockTicks();
            session.setAttribute(CONN, conn);
            if (openConnections.incrementAndGet() > set.maxConnections() && set.minIdleTicks() > 0) {
                makeRoom(conn);
            }
            if (openConnections.get() > set.maxConnections() + set.spareConnections() - unopened(set)) {
                // told at once that nothing was taken, so nothing that it sent meanwhile may be
                conn.turnedAway = true;
                conn.closing(CloseReason.NO_PLACE);
                refused.incrementAndGet();
                session.write(shedAtDoor("every connection is in use", true));
                session.closeOnFlush();
            }
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            ClientConnection conn = (ClientConnection) session.getAttribute(CONN);
            long arrived = loop.clockTicks();
            if (conn.turnedAway && message instanceof HttpRequest http) {
                room.release(http.body().length);
            } else if (message instanceof HttpRequest || message instanceof HttpProtocolException) {
                conn.requests++;
                // counted here, not by the loop: while that is held up, a client that pours must wait too
                if (conn.owed.incrementAndGet() > set.maxPipelinedRequests()) {
                    session.suspendRead();
                    readOn(conn);
                }
                // all that the names say is read here, so that the one thread that decides need not
                Object read = message instanceof HttpRequest http
                        ? understood(session, http)
                        : refusal((HttpProtocolException) message, null);
                if (message instanceof HttpRequest http && !(read instanceof ClientRequest)) {
                    room.release(http.body().length);
                }
                loop.post(() -> received(conn, read, arrived));
            }
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            boolean network = cause instanceof IOException;
            if (!network) {
                LOG.error("client connection {}: what came on it could not be handled", session.getId(), cause);
            }
            closing(session, network ? CloseReason.BROKEN : CloseReason.INTERNAL_ERROR);
            session.closeNow();
        }

        private static void closing(IoSession session, CloseReason why) {
            if (session.getAttribute(CONN) instanceof ClientConnection conn) {
                conn.closing(why);
            }
        }

        /**
         * A client that has ended its output has left: it cannot be told from one that has closed, so nothing more is
         * begun for it. What it had asked is answered all the same, for it may still be reading.
         */
        @Override
        public void inputClosed(IoSession session) {
            closing(session, CloseReason.CLIENT_CLOSED);
            // an end that was read once would be read again and again
            session.suspendRead();
            if (session.getAttribute(CONN) instanceof ClientConnection conn && conn.owed.get() > 0) {
                loop.post(() -> leave(conn));
            } else {
                session.closeOnFlush();
            }
        }

        @Override
        public void sessionClosed(IoSession session) {
            ClientConnection conn = (ClientConnection) session.getAttribute(CONN);
            uncount(conn);
            closedConnections.incrementAndGet(conn.closeReason().ordinal());
            int unanswered = conn.owed.get();
            if (unanswered > 0) {
                LOG.info(
                        "client connection {} ended: {}, {} requests on it unanswered",
                        conn.id(),
                        conn.closeReason(),
                        unanswered);
            }
            loop.post(() -> {
                conn.gone = true;
                empty(conn);
                if (conn.busy) {
                    door.onDisconnect(conn.current);
                }
            });
        }
    }

    /** An answer at the door, to what no route takes. */
    private record Refusal(HttpResponse answer, boolean toHead, boolean last) {}

    /** An Asked, a Refusal, or the HttpReq itself where it is for the front. */
    private Object understood(IoSession session, HttpRequest http) {
        try {
            return words.isNodeRequest(http) ? http : words.parseRequest(http);
        } catch (HttpProtocolException e) {
            return refusal(e, http);
        } catch (RuntimeException e) {
            // it was read, so it is owed an answer
            LOG.error("client connection {}: a request could not be understood", session.getId(), e);
            return refusal(new HttpProtocolException(500, "an error of this front; nothing was done"), http);
        }
    }

    private Refusal refusal(HttpProtocolException bad, HttpRequest http) {
        if (bad.status() == 503) {
            refused.incrementAndGet();
            return new Refusal(shedAtDoor("this front has no room for more bodies", true), false, true);
        }
        return new Refusal(
                words.badRequest(bad, http),
                http != null && http.method().equals("HEAD"),
                http == null || http.closesConnection());
    }

    // ---- on the front's thread

    private void empty(ClientConnection conn) {
        conn.waiting.forEach(w -> drop(w.message()));
        conn.waiting.clear();
    }

    private void received(ClientConnection conn, Object message, long arrived) {
        if (conn.gone || conn.lastSaid) {
            drop(message);
            return;
        }
        conn.waiting.add(new ClientConnection.Waiting(message, arrived));
        next(conn);
    }

    /** Answers all that the client is owed, the one in progress first, and closes its connection. */
    private void leave(ClientConnection conn) {
        if (conn.gone) {
            return;
        }
        // an answer of this turn may be among those that are not handed over yet
        flush();
        if (conn.busy && conn.current != null) {
            door.onDisconnect(conn.current);
            conn.current = null;
            conn.write(words.failed(false, "its client ended the connection; the req may have run"), false);
        }
        for (ClientConnection.Waiting waits : conn.waiting) {
            boolean refused = waits.message() instanceof Refusal;
            conn.write(
                    refused ? ((Refusal) waits.message()).answer : words.notAccepted("its client ended the connection"),
                    false);
        }
        empty(conn);
        conn.owed.set(0);
        // what was read and is still on its way to this thread finds the connection gone
        conn.gone = true;
        conn.session.closeOnFlush();
    }

    private void next(ClientConnection conn) {
        while (!conn.busy && !conn.gone && !conn.lastSaid && !conn.waiting.isEmpty()) {
            ClientConnection.Waiting w = conn.waiting.poll();
            startSweeps(conn, w.message(), w.arrived());
        }
    }

    private void startSweeps(ClientConnection conn, Object message, long arrived) {
        conn.toHead = false;
        if (message instanceof Refusal r) {
            conn.toHead = r.toHead;
            conn.write(r.answer, r.last);
            owesLess(conn);
        } else if (message instanceof HttpRequest own) {
            conn.busy = true;
            door.onNodeRequest(conn, own);
        } else {
            ClientRequest asked = (ClientRequest) message;
            conn.toHead = asked.headRequest();
            // the time a pipelined req waited for its turn is time its client has waited
            boolean full = door.activeRequests() >= set.maxOpenRequests() || loop.queuedTasks() >= set.maxQueuedTasks();
            if (door.hasEnded() || (door.isDraining() && set.lameDuckTicks() == 0) || full) {
                refused.incrementAndGet();
                releaseBody(asked);
                boolean last = door.isDraining() || asked.closesConnection();
                conn.write(shedAtDoor(full ? "this front is full" : "this front is stopping", last), last);
                owesLess(conn);
                return;
            }
            conn.busy = true;
            door.onRequest(conn, asked, arrived);
        }
    }

    private void owesLess(ClientConnection conn) {
        if (conn.owed.decrementAndGet() <= set.maxPipelinedRequests() / 2 + 1) {
            readOn(conn);
        }
    }

    /** The final answer of the req in progress; its connection's next one begins once this is written. */
    public void answer(ClientConnection conn, boolean last, HttpResponse answer) {
        boolean ends = last || door.isDraining();
        if (ends) {
            answer.headers().add("Connection", "close");
        }
        answered(conn, () -> conn.gone ? null : conn.write(answer, ends));
    }

    /**
     * The same for a machine's answer that crosses, with this front's own lines.
     *
     * @param gone run once it has left or never will, on any thread
     */
    public void forward(
            ClientConnection conn, boolean last, ForwardedMessage answer, MessageBuilder own, Runnable gone) {
        boolean ends = last || door.isDraining();
        if (ends) {
            own.appendHeader("Connection", "close");
        }
        byte[] bytes = answer.assemble(own, !conn.toHead);
        answered(conn, () -> {
            if (conn.gone) {
                gone.run();
                return null;
            }
            WriteFuture written = conn.write(IoBuffer.wrap(bytes), ends);
            written.addListener(f -> gone.run());
            return written;
        });
    }

    private void answered(ClientConnection conn, Supplier<WriteFuture> write) {
        conn.current = null;
        writes.add(() -> written(conn, write));
    }

    /**
     * Hands the turn's answers to the sockets. All at once: each first write wakes the thread that has the
     * connection, which is a call of the system, and those that follow closely find it awake.
     */
    public void flush() {
        for (int i = 0; i < writes.size(); i++) {
            try {
                writes.get(i).run();
            } catch (RuntimeException e) {
                LOG.error("an answer could not be written", e);
            }
        }
        writes.clear();
    }

    private void written(ClientConnection conn, Supplier<WriteFuture> write) {
        WriteFuture written = write.get();
        conn.restsSince = loop.nowTicks();
        owesLess(conn);
        if (conn.gone || conn.waiting.isEmpty()) {
            conn.busy = false;
        } else {
            // what a slow reader has not read yet bounds what is begun for it
            written.addListener(f -> loop.post(() -> {
                conn.busy = false;
                next(conn);
            }));
        }
    }

    private HttpResponse shedAtDoor(String why, boolean last) {
        HttpResponse a = words.notAccepted(why);
        if (last) {
            a.headers().add("Connection", "close");
        }
        return a;
    }
}
