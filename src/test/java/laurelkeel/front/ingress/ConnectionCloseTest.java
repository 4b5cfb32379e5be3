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

/** Each request that was read from a client's connection is answered, for whatever reason the connection is closed. */
class ConnectionCloseTest {
    private static final String REQUEST = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";

    private final AtomicLong clock = new AtomicLong(1_000_000);
    private final EventLoop loop = new EventLoop(clock::get);
    private final ExecutorService threads = LoopThreads.cachedPool(loop, "test-sockets");
    private final List<Socket> clients = new ArrayList<>();
    private Ingress ingress;
    private Socket clientBeingRead;
    private ClientProtocol protocol = new StubClientProtocol(true);
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
                        0,
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

    /** Answers each request to the node immediately. */
    private final class ImmediateResponder implements IngressListener {
        @Override
        public void onRequest(ClientConnection connection, ClientRequest request, long arrivedTicks) {}

        @Override
        public void onNodeRequest(ClientConnection connection, HttpRequest request) {
            ingress.answer(connection, false, new HttpResponse(200, new Headers(), new byte[0]));
        }

        @Override
        public void onDisconnect(Object token) {}

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

    /** Blocks the I/O thread after it has read a request and before it handles it. */
    private static final class BlockingFilter extends IoFilterAdapter {
        final CountDownLatch reached = new CountDownLatch(1);
        final CountDownLatch released = new CountDownLatch(1);
        /** Whether to block the I/O thread again after the handling, until the response is queued for writing. */
        volatile boolean blockUntilAnswered;

        @Override
        public void messageReceived(NextFilter next, IoSession session, Object message) throws Exception {
            reached.countDown();
            released.await();
            int pendingWrites = session.getScheduledWriteMessages();
            next.messageReceived(session, message);
            if (blockUntilAnswered) {
                blockUntilAnswered = false;
                FrontTestRig.await(
                        "the request is answered", () -> session.getScheduledWriteMessages() > pendingWrites);
            }
        }
    }

    /**
     * Asserts that a request is answered, and its connection stays open, if the event loop closes connections that seem idle
     * while the I/O thread has read the request and not handled it yet.
     */
    private void assertAnsweredIfClosedWhileReading(long elapsedTicks, Runnable close) throws Exception {
        assertAnsweredIfClosedWhileReading(new BlockingFilter(), elapsedTicks, close);
        assertConnectionStaysOpen();
    }

    private void assertConnectionStaysOpen() throws IOException {
        FrontTestPeers.send(clientBeingRead, REQUEST);
        assertTrue(readsResponse(clientBeingRead), "reading continues");
    }

    private void assertAnsweredIfClosedWhileReading(BlockingFilter filter, long elapsedTicks, Runnable close)
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

    /** An internal error while a request is interpreted must not leave the client without a response. */
    @Test
    void requestIsAnsweredAndConnectionStaysOpenAfterInternalError() throws Exception {
        protocol = new StubClientProtocol(true) {
            @Override
            public boolean isNodeRequest(HttpRequest request) {
                throw new IllegalStateException("thrown by the test");
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
     * If a response is queued after the close of its connection was requested and before the I/O thread checks whether it may
     * close the connection, the response is written, and the connection counts as in use and stays open.
     */
    @Test
    void connectionStaysOpenIfAnsweredBeforeItsCloseIsChecked() throws Exception {
        openIngress(10, 600_000);
        BlockingFilter filter = new BlockingFilter();
        filter.blockUntilAnswered = true;
        assertAnsweredIfClosedWhileReading(filter, 30_000, ingress::sweep);
        assertConnectionStaysOpen();
    }

    @Test
    void drainDoesNotCloseConnectionWhoseRequestIsBeingRead() throws Exception {
        openIngress(10, 600_000);
        assertAnsweredIfClosedWhileReading(0, ingress::closeIdle);
    }

    @Test
    void firstRequestDoesNotTimeOutWhileItIsBeingRead() throws Exception {
        openIngress(10, 600_000);
        assertAnsweredIfClosedWhileReading(30_000, ingress::sweep);
    }

    @Test
    void drainClosesIdleConnectionImmediately() throws Exception {
        openIngress(10, 600_000);
        Socket c = connect();
        Socket partial = connect();
        startLoop();
        FrontTestPeers.send(c, REQUEST);
        assertTrue(readsResponse(c));
        FrontTestPeers.send(partial, REQUEST.substring(0, 9));
        FrontTestRig.await("a part of the request is read", () -> ingress.partialRequests() == 1);
        // in a later turn of the event loop: the client may read the response before the loop has counted it
        runOnLoop(ingress::closeIdle);
        assertEquals("<end>", FrontTestPeers.receive(c));
        FrontTestPeers.send(partial, REQUEST.substring(9));
        assertTrue(readsResponse(partial));
    }

    @Test
    void connectionWhoseRequestIsQueuedForTheEventLoopIsNotEvicted() throws Exception {
        openIngress(2, 600_000);
        Socket a = connect();
        Socket b = connect();
        startLoop();
        for (Socket s : List.of(a, b)) {
            FrontTestPeers.send(s, REQUEST);
            assertTrue(readsResponse(s));
            clock.addAndGet(10);
        }
        // blocks the event loop; both connections have been idle for longer than the minimum by then
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch unblock = new CountDownLatch(1);
        loop.post(() -> {
            blocked.countDown();
            try {
                unblock.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        blocked.await();
        clock.addAndGet(30_000);
        FrontTestPeers.send(a, REQUEST);
        FrontTestRig.await("the request is read", () -> loop.queuedTasks() >= 1);
        connect();
        assertEquals(
                "<end>",
                FrontTestPeers.receive(b),
                "the other connection is closed, although it has been idle for less time");
        unblock.countDown();
        assertTrue(readsResponse(a));
    }

    @Test
    void idleConnectionIsAnsweredIfItsRequestIsBeingRead() throws Exception {
        openIngress(10, 20_000);
        assertAnsweredIfClosedWhileReading(20_001, ingress::sweep);
    }

    @Test
    void idleConnectionIsClosedAfterItsTimeoutAndNotBefore() throws Exception {
        openIngress(10, 20_000);
        Socket c = connect();
        FrontTestPeers.send(c, REQUEST);
        FrontTestRig.await("the request is read", () -> loop.queuedTasks() > 0);
        startLoop();
        assertTrue(readsResponse(c));
        for (int i = 0; i < 3; i++) {
            clock.addAndGet(20_000);
            sweepOnLoop();
            FrontTestPeers.send(c, REQUEST);
            assertTrue(readsResponse(c), "the connection is still open");
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

    /** MINA's own timeouts are measured by the wall clock, which may be stepped. */
    @Test
    void noTimeoutIsMeasuredByTheWallClock() throws Exception {
        openIngress(10, 20_000);
        assertEquals(0, ingress.acceptor().getSessionConfig().getWriteTimeout());
        for (IdleStatus kind : List.of(IdleStatus.BOTH_IDLE, IdleStatus.READER_IDLE, IdleStatus.WRITER_IDLE)) {
            assertEquals(0, ingress.acceptor().getSessionConfig().getIdleTime(kind));
        }
    }

    /** Blocks the acceptor's thread on each connection that it accepts. */
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
                "unbind waits for the acceptor",
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
