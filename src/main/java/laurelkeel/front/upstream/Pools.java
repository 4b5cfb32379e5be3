package laurelkeel.front.upstream;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import laurelkeel.api.Event.Outcome;
import laurelkeel.config.Section;
import laurelkeel.loop.Loop;
import laurelkeel.wire.BadHttp;
import laurelkeel.wire.HttpAnswer;
import laurelkeel.wire.HttpCodec;
import laurelkeel.wire.Room;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;

/**
 * Connections to all machines. An exchange that never had a byte handed to the network provably never ran; one whose
 * connection dies after that may have run, also on a connection that was idle before.
 */
public final class Pools {
    private static final AttributeKey CONN = new AttributeKey(Pools.class, "conn");
    private static final int MOST_DIALS = 3;

    private final UpstreamSettings set;
    private final Loop loop;
    private final Executor threads;
    private final SimpleIoProcessorPool<NioSession> processors;
    private final NioSocketConnector connector;
    private final Room room = Room.eighth();
    private final Map<String, Pool> pools = new HashMap<>();
    private int open;

    /** @param threads run its sockets */
    public Pools(UpstreamSettings set, Loop loop, Executor threads) {
        this.set = set;
        this.loop = loop;
        this.threads = threads;
        processors = new SimpleIoProcessorPool<>(NioProcessor.class, threads, set.threads(), null);
        connector = new NioSocketConnector(threads, processors);
        connector.setConnectTimeoutMillis(Math.max(1, set.dialTimeout() / 10));
        connector.getSessionConfig().setTcpNoDelay(true);
        connector.getSessionConfig().setReadBufferSize(2048);
        connector.getSessionConfig().setMaxReadBufferSize(32 << 10);
        connector.getFilterChain().addLast("http", HttpCodec.client(set.limits(), room));
        connector.setHandler(new Handler());
    }

    /** Starts closing what is idle for long; on the front's thread. */
    public void begin() {
        loop.at(loop.now() + 10_000, this::sweep);
    }

    public void close() {
        connector.dispose(false);
        // it waits for its threads, for ever where one of them died
        threads.execute(processors::dispose);
    }

    /** Bytes of machines' answers that are held, half read or whole. */
    public long bodies() {
        return room.held();
    }

    /** An answer that was heard has gone on, or goes nowhere. */
    public void over(Came came) {
        if (came != null && came.crossing() != null) {
            room.give(came.crossing().body().length);
        }
    }

    /** Connections open to all machines. */
    public int open() {
        return open;
    }

    /** Writes a whole req to a machine, on an idle connection or a new one; toHead: its answer has no body. */
    public Exchange start(String machine, byte[] message, boolean toHead, Exchange.Heard heard) {
        Pool pool = pools.computeIfAbsent(machine, m -> new Pool(m, resolved(m)));
        Exchange e = new Exchange(pool, message, toHead, heard);
        if (pool.address == null || pool.waiting.size() >= set.waiting() && pool.idle.isEmpty()) {
            loop.post(() -> e.tell(Outcome.NO_CONNECTION, null));
        } else {
            place(e);
        }
        return e;
    }

    private static InetSocketAddress resolved(String machine) {
        try {
            InetSocketAddress a = Section.address(machine);
            return a == null || a.isUnresolved() ? null : a;
        } catch (NumberFormatException e) {
            return null;
        }
    }

    private void place(Exchange e) {
        for (Conn c = e.pool.idle.pollFirst(); c != null; c = e.pool.idle.pollFirst()) {
            if (!c.gone && !c.session.isClosing()) {
                write(c, e);
                return;
            }
        }
        e.pool.waiting.addLast(e);
        if (e.dialLimit == null) {
            e.dialLimit = loop.at(loop.now() + set.dialTimeout(), () -> {
                e.pool.waiting.remove(e);
                e.tell(Outcome.NO_CONNECTION, null);
            });
        }
        dial(e.pool);
    }

    private void write(Conn c, Exchange e) {
        if (e.dialLimit != null) {
            e.dialLimit.cancel();
            e.dialLimit = null;
        }
        c.current = e;
        e.on = c;
        e.writtenBefore = c.session.getWrittenBytes();
        e.writtenAt = loop.now();
        if (e.toHead) {
            HttpCodec.nextIsToHead(c.session);
        }
        c.session.write(IoBuffer.wrap(e.message));
    }

    private void dial(Pool pool) {
        while (pool.dialling < pool.waiting.size() && pool.open + pool.dialling < set.connections()) {
            pool.dialling++;
            connector.connect(pool.address).addListener(f -> {
                ConnectFuture connected = (ConnectFuture) f;
                loop.post(() -> dialled(pool, connected));
            });
        }
    }

    private void dialled(Pool pool, ConnectFuture f) {
        pool.dialling--;
        if (f.isConnected()) {
            IoSession session = f.getSession();
            Conn c = new Conn(pool, session);
            if (session.getAttribute(CONN) != null) {
                // closed before it was ours
                dial(pool);
                return;
            }
            pool.open++;
            open++;
            session.setAttribute(CONN, c);
            free(c);
        } else {
            Exchange e = pool.waiting.pollFirst();
            if (e != null) {
                e.tell(theirs(f.getException()) ? Outcome.NO_CONNECTION : Outcome.NOT_SENT, null);
            }
            dial(pool);
        }
    }

    /** Refused, unreachable or silent is the machine's; no descriptor, port or route left is this front's own lack. */
    private static boolean theirs(Throwable why) {
        return why instanceof ConnectException || why instanceof NoRouteToHostException;
    }

    private void free(Conn c) {
        if (c.gone || c.session.isClosing()) {
            return;
        }
        Exchange next = c.pool.waiting.pollFirst();
        if (next != null) {
            write(c, next);
        } else {
            c.idleSince = loop.now();
            c.pool.idle.addFirst(c);
        }
    }

    private void closed(Conn c) {
        if (c.gone) {
            return;
        }
        c.gone = true;
        c.pool.open--;
        open--;
        c.pool.idle.remove(c);
        Exchange e = c.current;
        c.current = null;
        if (e != null && !e.over) {
            e.on = null;
            boolean neverLeft = c.session.getWrittenBytes() == e.writtenBefore;
            if (neverLeft && ++e.dials < MOST_DIALS) {
                place(e);
            } else {
                e.tell(neverLeft ? Outcome.NO_CONNECTION : Outcome.BROKEN, null);
            }
        }
        dial(c.pool);
    }

    private void answered(Conn c, Came came) {
        Exchange e = c.current;
        if (e == null) {
            // an answer that nothing asked: the connection has lost step
            over(came);
            c.session.closeNow();
            return;
        }
        c.current = null;
        e.on = null;
        if (came.last()) {
            c.session.closeNow();
        } else {
            free(c);
        }
        if (e.over) {
            over(came);
        }
        e.tell(came.outcome(), came);
    }

    private void unreadable(Conn c, Outcome as) {
        Exchange e = c.current;
        c.current = null;
        c.session.closeNow();
        if (e != null) {
            e.on = null;
            e.tell(as, null);
        }
    }

    /** Closes the idle connections to one machine. */
    public void closeIdle(String machine) {
        Pool pool = pools.get(machine);
        if (pool != null) {
            pool.closeIdle(Long.MAX_VALUE);
        }
    }

    private void sweep() {
        long before = loop.now() - set.idleClose();
        for (Pool p : pools.values()) {
            p.closeIdle(before);
        }
        pools.values().removeIf(p -> p.open == 0 && p.dialling == 0 && p.waiting.isEmpty());
        loop.at(loop.now() + 10_000, this::sweep);
    }

    private final class Handler extends IoHandlerAdapter {
        @Override
        public void messageReceived(IoSession session, Object message) {
            Object read = message instanceof HttpAnswer a ? Came.of(a) : message;
            if (message instanceof HttpAnswer a && ((Came) read).crossing() == null) {
                room.give(a.body().length);
            }
            loop.post(() -> {
                Conn c = session.getAttribute(CONN) instanceof Conn known ? known : null;
                if (c == null) {
                    over(read instanceof Came came ? came : null);
                    session.closeNow();
                } else if (read instanceof Came came) {
                    answered(c, came);
                } else if (message instanceof BadHttp b) {
                    // a front without room for an answer gave it up; that is no error of the machine's build
                    unreadable(c, b.status() == 503 ? Outcome.STOPPED : Outcome.ERROR);
                }
            });
        }

        @Override
        public void inputClosed(IoSession session) {
            session.closeNow();
        }

        @Override
        public void sessionClosed(IoSession session) {
            loop.post(() -> {
                if (session.getAttribute(CONN) instanceof Conn c) {
                    closed(c);
                } else {
                    session.setAttribute(CONN, "closed");
                }
            });
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }
}
