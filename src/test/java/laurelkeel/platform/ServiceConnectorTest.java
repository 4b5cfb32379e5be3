package laurelkeel.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import laurelkeel.api.Ticks;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.FrontTestRig;
import laurelkeel.front.NodeRuntime;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Events of service connections are handled ahead of request traffic on an event loop with a backlog. */
class ServiceConnectorTest {
    private static final int BACKLOG = 3_000;

    private final NodeRuntime runtime = NodeRuntime.forSingleCore(NodeRuntime.monotonicClock());
    private final EventLoop loop = runtime.loop();
    private final ServiceConnector connector =
            new ServiceConnector(loop, runtime.socketThreads(), runtime.processors(1));
    private int handled;

    @BeforeEach
    void runLoop() {
        FrontTestRig.run(loop);
    }

    @AfterEach
    void stopLoop() {
        loop.stop();
        connector.close();
    }

    private void handleOne() {
        handled++;
        LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(200));
    }

    /** Returns the number of tasks of the backlog that were handled before the end of the connection was reported. */
    private int handledBeforeTheEnd(InetSocketAddress to) throws Exception {
        CompletableFuture<Integer> handledAtEnd = new CompletableFuture<>();
        loop.post(() -> {
            connector.open(to, Ticks.PER_SECOND, new byte[0], new ConnectionListener() {
                @Override
                public void onBytes(byte[] bytes, long arrivedAtTicks) {
                    // nothing arrives
                }

                @Override
                public void onClosed(boolean written) {
                    handledAtEnd.complete(handled);
                }
            });
            for (int i = 0; i < BACKLOG; i++) {
                loop.post(this::handleOne);
            }
        });
        return handledAtEnd.get(60, TimeUnit.SECONDS);
    }

    @Test
    void aRefusedConnectionIsReportedAheadOfTheBacklog() throws Exception {
        InetSocketAddress unusedAddress;
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            unusedAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
        }
        int before = handledBeforeTheEnd(unusedAddress);
        assertTrue(before < BACKLOG / 2, "reported after " + before + " of " + BACKLOG);
    }

    /** Guards against a connection that is slow to be established being given up by a limit that its user did not set. */
    @Test
    void aConnectionThatIsEstablishedWithinTheTimeOfItsUserIsUsed() throws Exception {
        TestClock clock = TestClock.stopped();
        NodeRuntime steppedRuntime = NodeRuntime.forSingleCore(clock);
        EventLoop steppedLoop = steppedRuntime.loop();
        ServiceConnector stepped =
                new ServiceConnector(steppedLoop, steppedRuntime.socketThreads(), steppedRuntime.processors(1));
        FrontTestRig.run(steppedLoop);
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            // a backlog of 1 accepts two connections; the kernel drops further ones until one is taken
            List<Socket> fill = List.of(connect(full), connect(full));
            CompletableFuture<Boolean> closed = new CompletableFuture<>();
            steppedLoop.post(() -> stepped.open(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), full.getLocalPort()),
                    30 * Ticks.PER_SECOND,
                    "hello\n".getBytes(StandardCharsets.US_ASCII),
                    new ClosedListener(closed)));
            for (int second = 0; second < 29; second++) {
                clock.advance(Ticks.PER_SECOND);
                CountDownLatch turn = new CountDownLatch(1);
                steppedLoop.post(turn::countDown);
                assertTrue(turn.await(10, TimeUnit.SECONDS));
            }
            full.setSoTimeout(10_000);
            full.accept().close();
            full.accept().close();
            try (Socket late = full.accept()) {
                assertEquals("hello", PlatformTestBed.lineReader(late).readLine());
            }
            assertTrue(closed.get(10, TimeUnit.SECONDS), "its end was reported before anything was written");
            for (Socket each : fill) {
                each.close();
            }
        } finally {
            steppedLoop.stop();
            stepped.close();
        }
    }

    private static Socket connect(ServerSocket server) throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), server.getLocalPort());
    }

    /** Reports whether bytes had been written when a connection ended. */
    private record ClosedListener(CompletableFuture<Boolean> closed) implements ConnectionListener {
        @Override
        public void onBytes(byte[] bytes, long arrivedAtTicks) {
            // nothing arrives
        }

        @Override
        public void onClosed(boolean written) {
            closed.complete(written);
        }
    }
}
