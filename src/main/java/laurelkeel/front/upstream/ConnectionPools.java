package laurelkeel.front.upstream;

import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.wire.ByteBudget;
import laurelkeel.wire.HttpCodec;
import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpResponse;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connections to all machines. An exchange that never had a byte handed to the network provably never ran; one whose
 * connection dies after that may have run, also on a connection that was idle before.
 */
public final class ConnectionPools {
    private static final AttributeKey CONN = new AttributeKey(ConnectionPools.class, "conn");
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionPools.class);
    private static final int MOST_DIALS = 3;
    /**
     * A connection that comes up too late for the attempt that asked for it has been paid for, by both sides, and serves the
     * next one: it is waited for longer than an attempt waits.
     */
    private static final int DIAL_OUTLASTS = 2;
    /** What this host lacks for a dial (a descriptor, a port, a buffer) it mostly lacks for a moment. */
    private static final long AFTER_LACK = 200;

    private final UpstreamSettings set;
    private final EndpointProtocol words;
    private final EventLoop loop;
    private final Executor threads;
    private final SimpleIoProcessorPool<NioSession> processors;
    private final NioSocketConnector connector;
    private final ByteBudget room = ByteBudget.eighthOfHeap();
    private final Map<String, EndpointPool> pools = new HashMap<>();
    /** Those with tries that wait until a connection to another machine gives its place up. */
    private final LinkedHashSet<EndpointPool> starved = new LinkedHashSet<>();

    private int openConnections, dialling;

    /** @param processors run its sockets */
    public ConnectionPools(
            UpstreamSettings set,
            EndpointProtocol words,
            EventLoop loop,
            Executor threads,
            SimpleIoProcessorPool<NioSession> processors) {
        this.set = set;
        this.words = words;
        this.loop = loop;
        this.threads = threads;
        this.processors = processors;
        connector = new NioSocketConnector(threads, processors);
        connector.setConnectTimeoutMillis(ConnectAttempt.MINA_TIMEOUT_MS);
        connector.getSessionConfig().setTcpNoDelay(true);
        // by the wall clock, which may be stepped: each attempt has a limit of its own
        connector.getSessionConfig().setWriteTimeout(0);
        connector.getSessionConfig().setReadBufferSize(2048);
        connector.getSessionConfig().setMaxReadBufferSize(32 << 10);
        connector.getFilterChain().addLast("http", HttpCodec.client(set.httpLimits(), room));
        connector.setHandler(new Handler());
    }

    /** Starts closing what is idle for long; on the front's thread. */
    public void startSweeps() {
        loop.schedule(loop.nowTicks() + 10_000, this::sweep);
    }

    public void close() {
        connector.dispose(false);
        // it waits for its threads, for ever where one of them died
        threads.execute(processors::dispose);
    }

    /** Bytes of machines' answers that are held, half read or whole. */
    public long bodyBytes() {
        return room.reservedBytes();
    }

    /** An answer that was heard has gone on, or goes nowhere. */
    public void releaseBody(EndpointResponse came) {
        if (came != null && came.forwarded() != null) {
            room.release(came.forwarded().body().length);
        }
    }

    /** By place: connections open, of those idle, dialling, tries waiting. */
    public Map<String, String> describe() {
        Map<String, String> out = new TreeMap<>();
        pools.forEach((k, p) -> out.put(k, p.open + "/" + p.idle.size() + "/" + p.dialling + "/" + p.waiting.size()));
        return out;
    }

    NioSocketConnector connector() {
        return connector;
    }

    /** Connections open to all machines. */
    public int openConnections() {
        return openConnections;
    }

    /**
     * Writes a whole req to a machine, on an idle connection or a new one.
     *
     * @param message asked for the req's bytes at the moment it is written, which may be long after; null where it may
     *     not be written any more
     * @param toHead its answer has no body
     */
    public Exchange startExchange(
            EndpointAddress place, Supplier<byte[]> message, boolean toHead, Exchange.Listener heard) {
        EndpointPool pool = pools.computeIfAbsent(place.key(), k -> new EndpointPool(place));
        Exchange e = new Exchange(pool, message, toHead, heard);
        if (place.socketAddress() == null
                || (pool.waiting.size() >= set.maxWaitingPerEndpoint() && pool.idle.isEmpty())) {
            loop.post(() -> e.tell(AttemptOutcome.CONNECT_FAILED, null));
        } else {
            place(e);
        }
        return e;
    }

    private void place(Exchange e) {
        for (Iterator<EndpointConnection> idle = e.pool.idle.iterator(); idle.hasNext(); ) {
            EndpointConnection c = idle.next();
            if (c.gone || c.session.isClosing()) {
                idle.remove();
            } else if (c.idleSince + set.restAfterResponseTicks() <= loop.nowTicks()) {
                idle.remove();
                if (!write(c, e)) {
                    free(c);
                }
                return;
            }
        }
        e.pool.waiting.addLast(e);
        if (e.dialLimit == null) {
            e.dialLimit = loop.schedule(loop.nowTicks() + set.connectTimeoutTicks(), () -> {
                e.pool.waiting.remove(e);
                e.tell(starved.contains(e.pool) ? AttemptOutcome.NOT_SENT : AttemptOutcome.CONNECT_FAILED, null);
            });
        }
        dial(e.pool);
    }

    /** False where it may not be written any more; that is told. */
    private boolean write(EndpointConnection c, Exchange e) {
        byte[] bytes;
        try {
            bytes = e.message.get();
        } catch (RuntimeException failure) {
            LOG.error("a request to {} could not be made", e.pool.place.key(), failure);
            bytes = null;
        }
        if (bytes == null) {
            loop.post(() -> e.tell(AttemptOutcome.NOT_SENT, null));
            return false;
        }
        if (e.dialLimit != null) {
            e.dialLimit.cancel();
            e.dialLimit = null;
        }
        c.current = e;
        c.used = true;
        e.on = c;
        e.writtenBefore = c.session.getWrittenBytes();
        e.writtenAt = loop.nowTicks();
        if (e.toHead) {
            HttpCodec.nextIsToHead(c.session);
        }
        HttpCodec.toAsk(c.session);
        c.session.write(IoBuffer.wrap(bytes));
        return true;
    }

    private void dial(EndpointPool pool) {
        while (pool.dialling < pool.waiting.size() && pool.open + pool.dialling < set.maxConnectionsPerEndpoint()) {
            if (openConnections + dialling >= set.maxConnections()) {
                starved.add(pool);
                giveUpIdle();
                return;
            }
            pool.dialling++;
            dialling++;
            try {
                ConnectAttempt.start(
                        connector,
                        loop,
                        loop::post,
                        Math.max(10, set.connectTimeoutTicks() * DIAL_OUTLASTS),
                        pool.place.socketAddress(),
                        session -> {},
                        new ConnectAttempt.Listener() {
                            @Override
                            public void connected(IoSession session) {
                                dialled(pool, session);
                            }

                            @Override
                            public void failed(Throwable why) {
                                undialled(pool, theirs(why));
                            }

                            @Override
                            public void timedOut() {
                                forgetDial(pool);
                            }
                        });
            } catch (RuntimeException e) {
                LOG.error("{} could not be dialled", pool.place.socketAddress(), e);
                loop.post(() -> undialled(pool, false));
                return;
            }
        }
    }

    /** The connection that has been idle longest, of whatever machine, makes room for a new one. */
    private void giveUpIdle() {
        EndpointConnection oldest = null;
        for (EndpointPool p : pools.values()) {
            EndpointConnection c = p.idle.peekLast();
            if (c != null && (oldest == null || c.idleSince < oldest.idleSince)) {
                oldest = c;
            }
        }
        if (oldest != null) {
            oldest.pool.idle.remove(oldest);
            oldest.session.closeNow();
        }
    }

    /** A place has become free: one that waits for it dials. */
    private void feed() {
        Iterator<EndpointPool> first = starved.iterator();
        if (first.hasNext()) {
            EndpointPool p = first.next();
            first.remove();
            dial(p);
        }
    }

    private void dialEnded(EndpointPool pool) {
        pool.dialling--;
        dialling--;
    }

    private void dialled(EndpointPool pool, IoSession session) {
        dialEnded(pool);
        EndpointConnection c = new EndpointConnection(pool, session);
        if (session.getAttribute(CONN) != null) {
            // closed before it was ours
            dial(pool);
            return;
        }
        pool.open++;
        openConnections++;
        session.setAttribute(CONN, c);
        // nothing can come behind an answer that there was not
        c.idleSince = loop.nowTicks() - set.restAfterResponseTicks();
        free(c);
    }

    /** Whoever waits has a limit of its own, and mostly began to wait later than this dial. */
    private void forgetDial(EndpointPool pool) {
        dialEnded(pool);
        dial(pool);
        feed();
    }

    /** @param theirs it is the machine that did not come up, and not this host that lacked something */
    private void undialled(EndpointPool pool, boolean theirs) {
        dialEnded(pool);
        Exchange first = pool.waiting.peekFirst();
        if (first != null && !theirs && ++first.dials < MOST_DIALS) {
            loop.schedule(loop.nowTicks() + AFTER_LACK, () -> dial(pool));
        } else {
            if (first != null) {
                pool.waiting.pollFirst();
                first.tell(theirs ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.NOT_SENT, null);
            }
            dial(pool);
        }
        feed();
    }

    /** Refused, unreachable or silent is the machine's; no descriptor, port or route left is this host's own lack. */
    private static boolean theirs(Throwable why) {
        return why instanceof ConnectException || why instanceof NoRouteToHostException;
    }

    private void free(EndpointConnection c) {
        if (c.gone || c.session.isClosing()) {
            return;
        }
        for (Exchange next = c.pool.waiting.pollFirst(); next != null; next = c.pool.waiting.pollFirst()) {
            if (write(c, next)) {
                return;
            }
        }
        if (!starved.isEmpty()) {
            c.session.closeNow();
            return;
        }
        c.pool.idle.addFirst(c);
    }

    /** After an answer: more may come behind it, and must not meet another req's wait. */
    private void rested(EndpointConnection c) {
        c.idleSince = loop.nowTicks();
        if (set.restAfterResponseTicks() == 0) {
            free(c);
        } else {
            c.pool.idle.addFirst(c);
            if (!c.pool.waiting.isEmpty() || !starved.isEmpty()) {
                loop.schedule(loop.nowTicks() + set.restAfterResponseTicks(), () -> {
                    if (c.pool.idle.remove(c)) {
                        free(c);
                    }
                });
            }
        }
    }

    private void closed(EndpointConnection c) {
        if (c.gone) {
            return;
        }
        c.gone = true;
        c.pool.open--;
        openConnections--;
        c.pool.idle.remove(c);
        Exchange e = c.current;
        c.current = null;
        if (e != null && !e.over) {
            e.on = null;
            boolean neverLeft = c.session.getWrittenBytes() == e.writtenBefore;
            if (neverLeft && ++e.dials < MOST_DIALS) {
                place(e);
            } else {
                e.tell(neverLeft ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.CONNECTION_LOST, null);
            }
        }
        if (!c.used) {
            diedUnused(c.pool);
        }
        dial(c.pool);
        feed();
    }

    /** A machine that takes connections and ends them at once would be dialled without a pause until the dial's time is up. */
    private static void diedUnused(EndpointPool pool) {
        Exchange first = pool.waiting.peekFirst();
        if (first != null && ++first.dials >= MOST_DIALS) {
            pool.waiting.pollFirst();
            first.tell(AttemptOutcome.CONNECT_FAILED, null);
        }
    }

    private void answered(EndpointConnection c, EndpointResponse came) {
        Exchange e = c.current;
        if (e == null) {
            // an answer that nothing asked: the connection has lost step
            releaseBody(came);
            c.session.closeNow();
            return;
        }
        c.current = null;
        e.on = null;
        if (came.closesConnection()) {
            c.session.closeNow();
        } else {
            rested(c);
        }
        if (e.over) {
            releaseBody(came);
        }
        e.tell(came.outcome(), came);
    }

    private void unreadable(EndpointConnection c, AttemptOutcome as) {
        Exchange e = c.current;
        c.current = null;
        c.session.closeNow();
        if (e != null) {
            e.on = null;
            e.tell(as, null);
        }
    }

    /** Closes the idle connections of one place. */
    public void closeIdle(String place) {
        EndpointPool pool = pools.get(place);
        if (pool != null) {
            pool.closeIdle(Long.MAX_VALUE);
        }
    }

    private void sweep() {
        loop.schedule(loop.nowTicks() + 10_000, this::sweep);
        long before = loop.nowTicks() - set.idleTimeoutTicks();
        for (EndpointPool p : pools.values()) {
            p.closeIdle(before);
        }
        pools.values().removeIf(p -> p.open == 0 && p.dialling == 0 && p.waiting.isEmpty());
    }

    private final class Handler extends ConnectAttempt.Handler {
        @Override
        public void messageReceived(IoSession session, Object message) {
            Object read = message instanceof HttpResponse a ? words.parseResponse(a) : message;
            if (message instanceof HttpResponse a && ((EndpointResponse) read).forwarded() == null) {
                room.release(a.body().length);
            }
            loop.post(() -> {
                EndpointConnection c = session.getAttribute(CONN) instanceof EndpointConnection known ? known : null;
                if (c == null) {
                    releaseBody(read instanceof EndpointResponse came ? came : null);
                    session.closeNow();
                } else if (read instanceof EndpointResponse came) {
                    answered(c, came);
                } else if (message instanceof HttpProtocolException b) {
                    // a front without room for an answer gave it up; that is no error of the machine's build
                    unreadable(c, b.status() == 503 ? AttemptOutcome.CANCELLED : words.unreadableOutcome());
                }
            });
        }

        @Override
        public void sessionClosed(IoSession session) {
            loop.post(() -> {
                if (session.getAttribute(CONN) instanceof EndpointConnection c) {
                    closed(c);
                } else {
                    session.setAttribute(CONN, "closed");
                }
            });
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            if (!(cause instanceof IOException)) {
                LOG.error("what came from {} could not be handled", session.getRemoteAddress(), cause);
            }
            session.closeNow();
        }
    }
}
