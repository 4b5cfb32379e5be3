package laurelkeel.front.upstream;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.eventloop.LoopThreads;
import laurelkeel.front.FrontTestPeers;
import laurelkeel.front.NodeRuntime;
import laurelkeel.wire.HttpLimits;
import laurelkeel.wire.UnexpectedInputProcessor;
import org.apache.mina.core.filterchain.IoFilterAdapter;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.IoSession;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Checks races in which an exchange could read the response to another, or be sent on a connection that has closed. */
class ConnectionPoolsTest {
    private final EventLoop loop = new EventLoop(NodeRuntime.monotonicClock());
    private final ExecutorService threads = LoopThreads.cachedPool(loop, "test-sockets");
    /** The connect timeout is far longer than a test, so that it never ends an exchange here. */
    private final ConnectionPools pools = new ConnectionPools(
            new UpstreamSettings(
                    new HttpLimits(1024, 8192, 64, 1024), 8, 8, 8, 600_000, 600_000, 1, "/load", 2_500, 100),
            new CompletedOrLost(),
            loop,
            threads,
            new SimpleIoProcessorPool<>(UnexpectedInputProcessor.class, threads, 1, null));

    private final Thread loopThread = new Thread(() -> loop.run(() -> false));
    private final ServerSocket server;
    private final EndpointAddress address;

    ConnectionPoolsTest() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        server.setSoTimeout(10_000);
        address = new EndpointAddress("m", new InetSocketAddress(server.getInetAddress(), server.getLocalPort()));
        loopThread.start();
    }

    @AfterEach
    void close() throws Exception {
        loop.stop();
        loopThread.join();
        pools.close();
        server.close();
    }

    private record Ended(AttemptOutcome outcome, String body) {}

    private CompletableFuture<Ended> startExchange() {
        CompletableFuture<Ended> ended = new CompletableFuture<>();
        loop.post(() -> pools.startExchange(
                address,
                () -> "GET / HTTP/1.1\r\n\r\n".getBytes(UTF_8),
                false,
                (outcome, response) -> ended.complete(new Ended(
                        outcome,
                        response == null ? "" : new String(response.forwarded().body(), UTF_8)))));
        return ended;
    }

    private static Ended await(CompletableFuture<Ended> ended) throws Exception {
        return ended.get(10, TimeUnit.SECONDS);
    }

    private static void respond(Socket connection, String body) throws IOException {
        FrontTestPeers.send(connection, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private interface ServerAction {
        void run(Socket connection) throws IOException;
    }

    /**
     * Applies a server action to an idle connection while the node's I/O thread is blocked, starts the next exchange before
     * that thread can detect the action, and checks that this exchange completes on a new connection.
     */
    private void assertNextRequestUsesNewConnectionAfter(ServerAction action) throws Exception {
        CountDownLatch unblocked = new CountDownLatch(1);
        pools.connector().getFilterChain().addFirst("block", new IoFilterAdapter() {
            @Override
            public void messageReceived(NextFilter next, IoSession session, Object message) throws Exception {
                next.messageReceived(session, message);
                unblocked.await();
            }
        });
        CompletableFuture<Ended> first = startExchange();
        Socket firstConnection = server.accept();
        FrontTestPeers.receive(firstConnection);
        respond(firstConnection, "first");
        assertEquals(new Ended(AttemptOutcome.COMPLETED, "first"), await(first));
        action.run(firstConnection);
        CountDownLatch reuseDelayPassed = new CountDownLatch(1);
        loop.post(() -> loop.schedule(loop.nowTicks() + 200, reuseDelayPassed::countDown));
        reuseDelayPassed.await();
        CompletableFuture<Ended> second = startExchange();
        CountDownLatch dispatched = new CountDownLatch(1);
        loop.post(dispatched::countDown);
        dispatched.await();
        unblocked.countDown();
        Socket secondConnection = server.accept();
        FrontTestPeers.receive(secondConnection);
        respond(secondConnection, "second");
        assertEquals(new Ended(AttemptOutcome.COMPLETED, "second"), await(second));
    }

    @Test
    void anUnreadSurplusResponseIsNotUsedForTheNextRequest() throws Exception {
        assertNextRequestUsesNewConnectionAfter(connection -> respond(connection, "wrong"));
    }

    /** The request can be sent again on a new connection, since no byte of it was written to the closed one. */
    @Test
    void aRequestIsNotWrittenToAConnectionWhoseCloseIsNotYetDetected() throws Exception {
        assertNextRequestUsesNewConnectionAfter(Socket::close);
    }

    @Test
    void anExchangeFailsAfterThreeNewConnectionsWereClosed() throws Exception {
        AtomicInteger connects = new AtomicInteger();
        pools.connector().getFilterChain().addFirst("close", new IoFilterAdapter() {
            @Override
            public void sessionCreated(NextFilter next, IoSession session) throws Exception {
                connects.incrementAndGet();
                session.closeNow();
                next.sessionCreated(session);
            }
        });
        assertEquals(AttemptOutcome.CONNECT_FAILED, await(startExchange()).outcome);
        assertEquals(3, connects.get());
    }
}
