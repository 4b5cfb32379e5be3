package laurelkeel.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
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
            connector.open(to, new byte[0], new ConnectionListener() {
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
}
