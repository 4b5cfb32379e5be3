package laurelkeel.front.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.eventloop.LoopThreads;
import laurelkeel.front.FrontTestPeers;
import laurelkeel.front.FrontTestRig;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpLimits;
import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;
import org.apache.mina.core.filterchain.IoFilterAdapter;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.DefaultIoSessionDataStructureFactory;
import org.apache.mina.core.session.IdleStatus;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.session.IoSessionAttributeMap;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Whatever closes a client's connection, each request that was read on it gets its response. */
class ConnectionCloseTest {
    private static final String REQUEST = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";

    private final AtomicLong clock = new AtomicLong(1_000_000);
    private final EventLoop loop = new EventLoop(clock::get);
    private final ExecutorService threads = LoopThreads.cachedPool(loop, "test-sockets");
    private final List<Socket> clients = new ArrayList<>();
    private Ingress ingress;
    private Socket clientBeingRead;
    private ClientProtocol protocol = new NodeRequestProtocol();
    private int port;

    private void createIngress(int connections, long idleTimeoutTicks) {
        ingress = new Ingress(
                new IngressSettings(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        new HttpLimits(2048, 8192, 64, 1024),
                        connections,
                        4,
                        100,
                        8192,
                        4,
                        idleTimeoutTicks,
                        100_000,
                        1,
                        0,
                        5_500,
                        24_000,
                        20_000,
                        21_000),
                protocol,
                loop,
                threads,
                new SimpleIoProcessorPool<>(NioProcessor.class, threads, 1, null),
                new ImmediateResponder());
    }

    private void openIngress(int connections, long idleTimeoutTicks) throws IOException {
        createIngress(connections, idleTimeoutTicks);
        port = ingress.bind().getPort();
    }

    private void startLoop() {
        new Thread(() -> loop.run(() -> {
                    ingress.flush();
                    return false;
                }))
                .start();
    }

    private Socket connect() throws IOException {
        Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
        client.setSoTimeout(10_000);
        clients.add(client);
        return client;
    }

    private static boolean readsResponse(Socket client) throws IOException {
        return FrontTestPeers.receive(client).startsWith("HTTP/1.1 200 ");
    }

    @AfterEach
    void close() throws IOException {
        for (Socket s : clients) {
            s.close();
        }
        loop.stop();
        ingress.close();
    }

    /** Takes each request for one to the node itself. */
    private static class NodeRequestProtocol implements ClientProtocol {
        @Override
        public boolean isNodeRequest(HttpRequest request) {
            return true;
        }

        @Override
        public ClientRequest parseRequest(HttpRequest request) {
            throw new AssertionError("all requests are for the node");
        }

        @Override
        public HttpResponse badRequest(HttpProtocolException failure, HttpRequest request) {
            return new HttpResponse(failure.status(), new Headers(), new byte[0]);
        }

        @Override
        public HttpResponse notAccepted(String reason) {
            return new HttpResponse(503, new Headers(), new byte[0]);
        }

        @Override
        public HttpResponse rejected(long retryAfterTicks, String reason) {
            return notAccepted(reason);
        }

        @Override
        public HttpResponse failed(boolean timedOut, String reason) {
            return new HttpResponse(502, new Headers(), new byte[0]);
        }
    }

    /** Answers each request at once. */
    private final class ImmediateResponder implements IngressListener {
        @Override
        public void onRequest(ClientConnection connection, ClientRequest request, long arrivedTicks) {}

        @Override
        public void onNodeRequest(ClientConnection connection, HttpRequest request) {
            ingress.answer(connection, false, new HttpResponse(200, new Headers(), new byte[0]));
        }

        @Override
        public void onDisconnect(Object current) {}

        @Override
        public int activeRequests() {
            return 0;
        }

        @Override
        public boolean isClosingConnections() {
            return false;
        }

        @Override
        public boolean hasEnded() {
            return false;
        }
    }

    /** Blocks the I/O thread between reading a request and handling it. */
    private static final class BlockingFilter extends IoFilterAdapter {
        final CountDownLatch reached = new CountDownLatch(1);
        final CountDownLatch released = new CountDownLatch(1);
        /** Blocks it again after that until the response is handed over, behind the writes that were pending before. */
        volatile boolean blockUntilAnswered;

        @Override
        public void messageReceived(NextFilter next, IoSession session, Object message) throws Exception {
            reached.countDown();
            released.await();
            int before = session.getScheduledWriteMessages();
            next.messageReceived(session, message);
            if (blockUntilAnswered) {
                blockUntilAnswered = false;
                FrontTestRig.await("it is answered", () -> session.getScheduledWriteMessages() > before);
            }
        }
    }

    /** The loop closes connections that seem idle while the I/O thread is about to handle a request of one. */
    private void assertAnsweredThoughClosedWhileRead(long elapsedTicks, Runnable close) throws Exception {
        assertAnsweredThoughClosedWhileRead(new BlockingFilter(), elapsedTicks, close);
        assertConnectionStaysOpen();
    }

    private void assertConnectionStaysOpen() throws IOException {
        FrontTestPeers.send(clientBeingRead, REQUEST);
        assertTrue(readsResponse(clientBeingRead), "the connection is read on");
    }

    private void assertAnsweredThoughClosedWhileRead(BlockingFilter filter, long elapsedTicks, Runnable close)
            throws Exception {
        ingress.acceptor().getFilterChain().addFirst("block", filter);
        Socket client = connect();
        clientBeingRead = client;
        FrontTestPeers.send(client, REQUEST);
        assertTrue(filter.reached.await(10, TimeUnit.SECONDS));
        clock.addAndGet(elapsedTicks);
        close.run();
        CountDownLatch laterTurn = new CountDownLatch(1);
        loop.schedule(clock.addAndGet(10_000), laterTurn::countDown);
        startLoop();
        assertTrue(laterTurn.await(10, TimeUnit.SECONDS));
        filter.released.countDown();
        assertTrue(readsResponse(client), "the request that was read is answered");
    }

    /** An error of this program is no reason to leave a client without a response. */
    @Test
    void aRequestThatCannotBeInterpretedIsAnsweredAndItsConnectionStaysOpen() throws Exception {
        protocol = new NodeRequestProtocol() {
            @Override
            public boolean isNodeRequest(HttpRequest request) {
                throw new IllegalStateException("made");
            }
        };
        openIngress(10, 600_000);
        startLoop();
        Socket c = connect();
        for (int i = 0; i < 2; i++) {
            FrontTestPeers.send(c, REQUEST);
            assertTrue(FrontTestPeers.receive(c).startsWith("HTTP/1.1 500 "));
        }
    }

    /**
     * The response is handed over after the close of its connection was requested, and before the I/O thread checks whether
     * it may close it: the response is written, and the connection is no longer idle.
     */
    @Test
    void aConnectionAnsweredBeforeTheCheckOfItsCloseIsReadOn() throws Exception {
        openIngress(10, 600_000);
        BlockingFilter filter = new BlockingFilter();
        filter.blockUntilAnswered = true;
        assertAnsweredThoughClosedWhileRead(filter, 30_000, ingress::sweep);
        assertConnectionStaysOpen();
    }

    @Test
    void aDrainClosesNoConnectionWhoseRequestIsBeingRead() throws Exception {
        openIngress(10, 600_000);
        assertAnsweredThoughClosedWhileRead(0, ingress::closeIdle);
    }

    @Test
    void aFirstRequestThatIsBeingReadDoesNotTimeOut() throws Exception {
        openIngress(10, 600_000);
        assertAnsweredThoughClosedWhileRead(30_000, ingress::sweep);
    }

    @Test
    void anIdleConnectionIsClosedAtOnceByADrain() throws Exception {
        openIngress(10, 600_000);
        Socket c = connect();
        Socket half = connect();
        startLoop();
        FrontTestPeers.send(c, REQUEST);
        assertTrue(readsResponse(c));
        FrontTestPeers.send(half, REQUEST.substring(0, 9));
        FrontTestRig.await("the request is read in part", () -> ingress.partialRequests() == 1);
        // in a later turn than the response: its client may have read it before the loop has counted it
        runOnLoop(ingress::closeIdle);
        assertEquals("<end>", FrontTestPeers.receive(c));
        FrontTestPeers.send(half, REQUEST.substring(9));
        assertTrue(readsResponse(half));
    }

    @Test
    void noConnectionWhoseRequestWaitsForTheLoopIsClosedToMakeRoom() throws Exception {
        openIngress(2, 600_000);
        Socket a = connect();
        Socket b = connect();
        startLoop();
        for (Socket s : List.of(a, b)) {
            FrontTestPeers.send(s, REQUEST);
            assertTrue(readsResponse(s));
            clock.addAndGet(10);
        }
        // the loop is blocked from here on, and both have been idle for long
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        loop.post(() -> {
            held.countDown();
            try {
                go.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        held.await();
        clock.addAndGet(30_000);
        FrontTestPeers.send(a, REQUEST);
        FrontTestRig.await("read", () -> loop.queuedTasks() >= 1);
        connect();
        assertEquals(
                "<end>", FrontTestPeers.receive(b), "the other one is closed, though it has been idle for less time");
        go.countDown();
        assertTrue(readsResponse(a));
    }

    @Test
    void anIdleConnectionWhoseRequestIsBeingReadIsAnswered() throws Exception {
        openIngress(10, 20_000);
        assertAnsweredThoughClosedWhileRead(20_001, ingress::sweep);
    }

    @Test
    void anIdleConnectionIsClosedAtItsTimeoutAndNotBefore() throws Exception {
        openIngress(10, 20_000);
        Socket c = connect();
        FrontTestPeers.send(c, REQUEST);
        FrontTestRig.await("read", () -> loop.queuedTasks() > 0);
        startLoop();
        assertTrue(readsResponse(c));
        for (int i = 0; i < 3; i++) {
            clock.addAndGet(20_000);
            sweepOnLoop();
            FrontTestPeers.send(c, REQUEST);
            assertTrue(readsResponse(c), "still open");
        }
        clock.addAndGet(20_001);
        sweepOnLoop();
        assertEquals("<end>", FrontTestPeers.receive(c));
    }

    private void sweepOnLoop() {
        runOnLoop(ingress::sweep);
    }

    private void runOnLoop(Runnable task) {
        CountDownLatch done = new CountDownLatch(1);
        loop.post(() -> {
            task.run();
            done.countDown();
        });
        try {
            assertTrue(done.await(10, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** MINA's own timeouts go by the wall clock, which may be stepped. */
    @Test
    void noTimeoutGoesByTheWallClock() throws Exception {
        openIngress(10, 20_000);
        assertEquals(0, ingress.acceptor().getSessionConfig().getWriteTimeout());
        for (IdleStatus kind : List.of(IdleStatus.BOTH_IDLE, IdleStatus.READER_IDLE, IdleStatus.WRITER_IDLE)) {
            assertEquals(0, ingress.acceptor().getSessionConfig().getIdleTime(kind));
        }
    }

    /** Blocks the acceptor's thread at each connection that it accepts. */
    private static final class BlockingSessionFactory extends DefaultIoSessionDataStructureFactory {
        final CountDownLatch reached = new CountDownLatch(1);
        final CountDownLatch released = new CountDownLatch(1);

        @Override
        public IoSessionAttributeMap getAttributeMap(IoSession session) throws Exception {
            reached.countDown();
            released.await();
            return super.getAttributeMap(session);
        }
    }

    @Test
    void connectionsInTheBacklogAreAcceptedBeforeTheListenerCloses() throws Exception {
        BlockingSessionFactory factory = new BlockingSessionFactory();
        createIngress(10, 600_000);
        ingress.acceptor().setSessionDataStructureFactory(factory);
        port = ingress.bind().getPort();
        startLoop();
        Socket accepted = connect();
        assertTrue(factory.reached.await(10, TimeUnit.SECONDS));
        List<Socket> inBacklog = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            Socket s = connect();
            FrontTestPeers.send(s, REQUEST);
            inBacklog.add(s);
        }
        Thread unbind = new Thread(ingress::unbind);
        unbind.start();
        FrontTestRig.await(
                "it waits to be unbound",
                () -> unbind.getState() == Thread.State.WAITING || unbind.getState() == Thread.State.TIMED_WAITING);
        factory.released.countDown();
        unbind.join();
        for (Socket s : inBacklog) {
            assertTrue(readsResponse(s));
        }
        FrontTestPeers.send(accepted, REQUEST);
        assertTrue(readsResponse(accepted));
    }
}
