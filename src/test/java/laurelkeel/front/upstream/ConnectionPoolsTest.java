package laurelkeel.front.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.front.FrontTestPeers;
import laurelkeel.front.upstream.ConnectionPoolsTestBed.Ended;
import laurelkeel.wire.HttpLimits;
import org.apache.mina.core.filterchain.IoFilterAdapter;
import org.apache.mina.core.session.IoSession;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Checks races in which an exchange could read the response to another, or be sent on a connection that has closed. */
class ConnectionPoolsTest {
    private final ConnectionPoolsTestBed testBed =
            new ConnectionPoolsTestBed(new HttpLimits(1024, 8192, 64, 1024), 100);

    ConnectionPoolsTest() throws IOException {}

    @AfterEach
    void close() throws Exception {
        testBed.close();
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
        testBed.pools.connector().getFilterChain().addFirst("block", new IoFilterAdapter() {
            @Override
            public void messageReceived(NextFilter next, IoSession session, Object message) throws Exception {
                next.messageReceived(session, message);
                unblocked.await();
            }
        });
        CompletableFuture<Ended> first = testBed.startExchange();
        Socket firstConnection = testBed.server.accept();
        FrontTestPeers.receive(firstConnection);
        respond(firstConnection, "first");
        assertEquals(new Ended(AttemptOutcome.COMPLETED, "first"), await(first));
        action.run(firstConnection);
        CountDownLatch reuseDelayPassed = new CountDownLatch(1);
        testBed.loop.post(() -> testBed.loop.schedule(testBed.loop.nowTicks() + 200, reuseDelayPassed::countDown));
        reuseDelayPassed.await();
        CompletableFuture<Ended> second = testBed.startExchange();
        CountDownLatch dispatched = new CountDownLatch(1);
        testBed.loop.post(dispatched::countDown);
        dispatched.await();
        unblocked.countDown();
        Socket secondConnection = testBed.server.accept();
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
        testBed.pools.connector().getFilterChain().addFirst("close", new IoFilterAdapter() {
            @Override
            public void sessionCreated(NextFilter next, IoSession session) throws Exception {
                connects.incrementAndGet();
                session.closeNow();
                next.sessionCreated(session);
            }
        });
        assertEquals(
                AttemptOutcome.CONNECT_FAILED, await(testBed.startExchange()).outcome());
        assertEquals(3, connects.get());
    }
}
