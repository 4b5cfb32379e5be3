package laurelkeel.front.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.FrontTestRig;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks that connect attempts time out by the event loop's clock, which the tests advance, without affecting each other. */
class ConnectAttemptTest {
    private static final String TIMED_OUT = "timed out";
    private static final int TIMEOUT_TICKS = 1_000;
    private static final int ROUNDS = 200;

    private final AtomicLong clock = new AtomicLong(1_000_000);
    private final EventLoop loop = new EventLoop(clock::get);
    private final NioSocketConnector connector = new NioSocketConnector(1);
    private final List<Object> results = new CopyOnWriteArrayList<>();

    @BeforeEach
    void runLoop() {
        connector.setConnectTimeoutMillis(ConnectAttempt.MINA_TIMEOUT_MS);
        connector.setHandler(new ConnectAttempt.Handler() {});
        FrontTestRig.run(loop);
    }

    @AfterEach
    void stopLoop() {
        loop.stop();
        connector.dispose();
    }

    /** Starts an attempt and waits until it has started, so that the caller may then advance the clock. */
    private void connect(InetSocketAddress address) throws InterruptedException {
        CountDownLatch started = new CountDownLatch(1);
        loop.post(() -> startAttempt(address));
        loop.post(started::countDown);
        assertTrue(started.await(10, TimeUnit.SECONDS));
    }

    private Runnable startAttempt(InetSocketAddress address) {
        return ConnectAttempt.start(
                connector, loop, loop::post, TIMEOUT_TICKS, address, session -> {}, new ConnectAttempt.Listener() {
                    @Override
                    public void connected(IoSession session) {
                        results.add(session);
                    }

                    @Override
                    public void failed(Throwable cause) {
                        results.add(cause);
                    }

                    @Override
                    public void timedOut() {
                        results.add(TIMED_OUT);
                    }
                });
    }

    private static InetSocketAddress address(ServerSocket server) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
    }

    @Test
    void anAttemptThatDoesNotConnectTimesOutAtItsTimeoutAndNotBefore() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            // a backlog of 1 accepts two connections; the kernel drops further ones
            List<Socket> fill = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                fill.add(new Socket(InetAddress.getLoopbackAddress(), full.getLocalPort()));
            }
            connect(address(full));
            clock.addAndGet(TIMEOUT_TICKS - 1);
            loop.post(() -> results.add("task ran"));
            FrontTestRig.await("the posted task ran", () -> results.size() == 1);
            assertEquals(List.of("task ran"), results);
            clock.addAndGet(2);
            FrontTestRig.await("the attempt times out", () -> results.size() == 2);
            assertEquals(TIMED_OUT, results.get(1));
            for (Socket each : fill) {
                each.close();
            }
        }
    }

    @Test
    void aCancelledAttemptHasNoResultAndItsConnectionIsClosed() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 500, InetAddress.getLoopbackAddress())) {
            for (int i = 0; i < ROUNDS; i++) {
                loop.post(() -> startAttempt(address(server)).run());
                connect(address(server));
                int expected = i + 1;
                FrontTestRig.await("the other attempt has a result", () -> results.size() >= expected);
            }
            assertEquals(ROUNDS, results.size());
            assertTrue(results.stream().allMatch(IoSession.class::isInstance));
            FrontTestRig.await(
                    "only the other connections are open", () -> connector.getManagedSessionCount() == ROUNDS);
        }
    }

    /**
     * Guards against a connector that stops polling its other connects after one has timed out while it was connecting: the
     * second attempt must still connect.
     */
    @Test
    void anAttemptThatConnectsAsItTimesOutDoesNotAffectTheNext() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 500, InetAddress.getLoopbackAddress())) {
            for (int i = 0; i < ROUNDS; i++) {
                int before = results.size();
                connect(address(server));
                clock.addAndGet(TIMEOUT_TICKS + 1);
                connect(address(server));
                FrontTestRig.await("both attempts have a result", () -> results.size() >= before + 2);
                server.accept().close();
            }
        }
        assertEquals(2 * ROUNDS, results.size());
    }
}
