package laurelkeel.front.ingress;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntToLongFunction;
import java.util.function.Supplier;
import laurelkeel.loop.Loop;
import laurelkeel.wire.BadHttp;
import laurelkeel.wire.Crossing;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpAnswer;
import laurelkeel.wire.HttpCodec;
import laurelkeel.wire.HttpReq;
import laurelkeel.wire.Lines;
import laurelkeel.wire.Names;
import laurelkeel.wire.Room;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IdleStatus;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/** The door: reads reqs off connections, hands each to the front when its turn has come, writes final answers. */
public final class Ingress {
    /** Where clients complain of an answer; a path of the front's own. */
    public static final String COMPLAINTS = "/.laurelkeel/complaints";
    private static final AttributeKey CONN = new AttributeKey(Ingress.class, "conn");
    private static final long RETRY_AT_DOOR = 1000;

    private final IngressSettings set;
    private final RouteTable table;
    private final IntToLongFunction timeouts;
    private final Loop loop;
    private final Door door;
    private final Executor threads;
    private final SimpleIoProcessorPool<NioSession> processors;
    private final NioSocketAcceptor acceptor;
    private final Room room = Room.eighth();
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final ArrayList<Runnable> writes = new ArrayList<>();

    public Ingress(IngressSettings set, RouteTable table, IntToLongFunction timeouts, Loop loop, Executor threads,
            Door door) {
        this.set = set;
        this.table = table;
        this.timeouts = timeouts;
        this.loop = loop;
        this.threads = threads;
        this.door = door;
        processors = new SimpleIoProcessorPool<>(NioProcessor.class, threads, set.threads(), null);
        acceptor = new NioSocketAcceptor(threads, processors);
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(8192);
        // at a drain the port goes first, and what is held on open connections is still answered
        acceptor.setCloseOnDeactivation(false);
        acceptor.getSessionConfig().setTcpNoDelay(true);
        acceptor.getSessionConfig().setReadBufferSize(2048);
        acceptor.getSessionConfig().setMaxReadBufferSize(16 << 10);
        // by what is written: a client that sends a byte of a req now and then would keep its place for ever
        acceptor.getSessionConfig().setWriterIdleTime((int) Math.max(1, set.idleClose() / 10_000));
        acceptor.getSessionConfig().setWriteTimeout((int) Math.max(1, set.writeTimeout() / 10_000));
        acceptor.getFilterChain().addLast("http", HttpCodec.server(set.limits(), room));
        acceptor.setHandler(new Handler());
    }

    /** Binds and returns the address with its real port. */
    public InetSocketAddress open() throws IOException {
        acceptor.bind(set.listen());
        return acceptor.getLocalAddress();
    }

    /** Takes no new connections; those there stay. */
    public void unbind() {
        acceptor.unbind();
    }

    /** Closes all, after what is written has left or a second has passed. */
    public void close() {
        long end = System.nanoTime() + 1_000_000_000L;
        while (System.nanoTime() < end && acceptor.getManagedSessions().values().stream()
                .anyMatch(s -> s.isConnected() && s.getScheduledWriteMessages() > 0)) {
            LockSupport.parkNanos(2_000_000);
        }
        acceptor.dispose(false);
        // it waits for its threads, for ever where one of them died
        threads.execute(processors::dispose);
    }

    public int connections() {
        return connections.get();
    }

    /** Bytes of reqs' bodies that are held, half read or whole. */
    public long bodies() {
        return room.held();
    }

    /** A req that was taken is over: its body is held no more. */
    public void over(Asked asked) {
        room.give(asked.crossing().body().length);
    }

    private void drop(Object message) {
        if (message instanceof Asked a) {
            over(a);
        }
    }

    /** Reqs and connections turned away at the door since the start. */
    public int turnedAway() {
        return refused.get();
    }

    private final class Handler extends IoHandlerAdapter {
        @Override
        public void sessionOpened(IoSession session) {
            ClientConn conn = new ClientConn(session);
            session.setAttribute(CONN, conn);
            if (connections.incrementAndGet() > set.connections()) {
                // told at once that nothing was taken, so nothing that it sent meanwhile may be
                conn.turnedAway = true;
                refused.incrementAndGet();
                session.write(shedAtDoor("every connection is in use", true));
                session.closeOnFlush();
            }
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            ClientConn conn = (ClientConn) session.getAttribute(CONN);
            long arrived = loop.clock();
            if (conn.turnedAway && message instanceof HttpReq http) {
                room.give(http.body().length);
            } else if (message instanceof HttpReq || message instanceof BadHttp) {
                // counted here, not by the loop: while that is held up, a client that pours must wait too
                if (conn.posted.incrementAndGet() >= set.pipelined()) {
                    session.suspendRead();
                    if (conn.posted.get() < set.pipelined()) {
                        session.resumeRead();
                    }
                }
                // all that the names say is read here, so that the one thread that decides need not
                Object read = message instanceof HttpReq http ? understood(http)
                        : refusal((BadHttp) message, null);
                if (message instanceof HttpReq http && !(read instanceof Asked)) {
                    room.give(http.body().length);
                }
                loop.post(() -> received(conn, read, arrived));
            }
        }

        @Override
        public void sessionIdle(IoSession session, IdleStatus status) {
            ClientConn conn = (ClientConn) session.getAttribute(CONN);
            loop.post(() -> {
                if (!conn.busy) {
                    conn.session.closeNow();
                }
            });
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }

        @Override
        public void inputClosed(IoSession session) {
            // a client that ends its side has left: nothing tells a half-closed connection from a dead one in time
            session.closeNow();
        }

        @Override
        public void sessionClosed(IoSession session) {
            connections.decrementAndGet();
            ClientConn conn = (ClientConn) session.getAttribute(CONN);
            loop.post(() -> {
                conn.gone = true;
                empty(conn);
                if (conn.busy) {
                    door.left(conn.current);
                }
            });
        }
    }

    /** An answer at the door, to what no route takes. */
    private record Refusal(HttpAnswer answer, boolean toHead, boolean last) { }

    /** An Asked, a Refusal, or the HttpReq itself where it is for the front. */
    private Object understood(HttpReq http) {
        if (http.path().equals(COMPLAINTS) && http.method().equals("POST")) {
            return http;
        }
        try {
            return Asked.read(http, table, timeouts);
        } catch (BadHttp e) {
            return refusal(e, http);
        }
    }

    private Refusal refusal(BadHttp bad, HttpReq http) {
        if (bad.status() == 503) {
            refused.incrementAndGet();
            return new Refusal(shedAtDoor("this front has no room for more bodies", true), false, true);
        }
        HttpAnswer a = plain(bad.status(), bad.getMessage());
        if (bad.status() == 405 && http != null) {
            a.headers().add("Allow", table.allowed(http.path()));
        }
        return new Refusal(a, http != null && http.method().equals("HEAD"), http == null || http.last());
    }

    // ---- on the front's thread

    private void empty(ClientConn conn) {
        conn.waiting.forEach(w -> drop(w.message()));
        conn.waiting.clear();
    }

    private void received(ClientConn conn, Object message, long arrived) {
        if (conn.gone || conn.lastSaid) {
            drop(message);
            return;
        }
        conn.waiting.add(new ClientConn.Waiting(message, arrived));
        next(conn);
    }

    private void next(ClientConn conn) {
        while (!conn.busy && !conn.gone && !conn.lastSaid && !conn.waiting.isEmpty()) {
            ClientConn.Waiting w = conn.waiting.poll();
            if (conn.posted.decrementAndGet() < set.pipelined() / 2 + 1 && conn.session.isReadSuspended()) {
                conn.session.resumeRead();
            }
            begin(conn, w.message(), w.arrived());
        }
    }

    private void begin(ClientConn conn, Object message, long arrived) {
        conn.toHead = false;
        if (message instanceof Refusal r) {
            conn.toHead = r.toHead;
            conn.write(r.answer, r.last);
        } else if (message instanceof HttpReq complaint) {
            conn.busy = true;
            door.complaint(conn, complaint);
        } else {
            Asked asked = (Asked) message;
            conn.toHead = asked.toHead();
            // the time a pipelined req waited for its turn is time its client has waited
            boolean full = door.held() >= set.openReqs() || loop.backlog() >= set.backlog();
            if (door.draining() || full) {
                refused.incrementAndGet();
                over(asked);
                boolean last = door.draining() || asked.last();
                conn.write(shedAtDoor(full ? "this front is full" : "this front is stopping", last), last);
                return;
            }
            conn.busy = true;
            door.taken(conn, asked, arrived);
        }
    }

    /** The final answer of the req in progress; its connection's next one begins once this is written. */
    public void answer(ClientConn conn, boolean last, HttpAnswer answer) {
        boolean ends = last || door.draining();
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
    public void pass(ClientConn conn, boolean last, Crossing answer, Lines own, Runnable gone) {
        boolean ends = last || door.draining();
        if (ends) {
            own.line("Connection", "close");
        }
        byte[] bytes = answer.with(own, !conn.toHead);
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

    private void answered(ClientConn conn, Supplier<WriteFuture> write) {
        conn.current = null;
        writes.add(() -> written(conn, write));
    }

    /**
     * Hands the turn's answers to the sockets. All at once: each first write wakes the thread that has the
     * connection, which is a call of the system, and those that follow closely find it awake.
     */
    public void flush() {
        for (int i = 0; i < writes.size(); i++) {
            writes.get(i).run();
        }
        writes.clear();
    }

    private void written(ClientConn conn, Supplier<WriteFuture> write) {
        WriteFuture written = write.get();
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

    private static HttpAnswer shedAtDoor(String why, boolean last) {
        HttpAnswer a = shed(RETRY_AT_DOOR, why);
        a.headers().add(Names.TAKEN, "no");
        if (last) {
            a.headers().add("Connection", "close");
        }
        return a;
    }

    // ---- the three final answers on the wire

    /** 503 and the word that asking again is harmless; after is in tenths of a millisecond, 0 for no advice. */
    public static HttpAnswer shed(long after, String why) {
        HttpAnswer a = plain(503, why);
        a.headers().add(Names.ANSWER, "shed").add(Names.RETRY, "harmless");
        if (after > 0) {
            a.headers().add(Names.RETRY_AFTER, Long.toString((after + 9_999) / 10_000));
            a.headers().add(Names.RETRY_AFTER_MS, Long.toString((after + 9) / 10));
        }
        return a;
    }

    /** 502 or 504, which promise nothing of what ran. */
    public static HttpAnswer errored(boolean late, String why) {
        HttpAnswer a = plain(late ? 504 : 502, why);
        a.headers().add(Names.ANSWER, "errored");
        return a;
    }

    public static HttpAnswer plain(int status, String text) {
        return new HttpAnswer(status, Headers.of("Content-Type", "text/plain; charset=utf-8"),
                (text + "\n").getBytes(StandardCharsets.UTF_8));
    }
}
