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

/** What the platform's services say goes ahead of traffic on a loop that has fallen behind. */
class ServiceConnectorTest {
    private static final int BACKLOG = 3_000;

    private final NodeRuntime base = NodeRuntime.forSingleCore(NodeRuntime.monotonicClock());
    private final EventLoop loop = base.loop();
    private final ServiceConnector connector = new ServiceConnector(loop, base.socketThreads(), base.processors(1));
    private int handled;

    @BeforeEach
    void run() {
        FrontTestRig.run(loop);
    }

    @AfterEach
    void stop() {
        loop.stop();
        connector.close();
    }

    private void handleOne() {
        handled++;
        LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(200));
    }

    /** How much of the backlog was handled when the link's end was told. */
    private int handledBeforeTheEnd(InetSocketAddress to) throws Exception {
        CompletableFuture<Integer> told = new CompletableFuture<>();
        loop.post(() -> {
            connector.open(to, new byte[0], new ConnectionListener() {
                @Override
                public void onBytes(byte[] bytes, long arrivedAtTicks) {
                    // nothing is said
                }

                @Override
                public void onClosed(boolean written) {
                    told.complete(handled);
                }
            });
            for (int i = 0; i < BACKLOG; i++) {
                loop.post(this::handleOne);
            }
        });
        return told.get(60, TimeUnit.SECONDS);
    }

    @Test
    void aRefusedConnectionIsToldAheadOfTheBacklog() throws Exception {
        InetSocketAddress nobody;
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            nobody = new InetSocketAddress("127.0.0.1", server.getLocalPort());
        }
        int before = handledBeforeTheEnd(nobody);
        assertTrue(before < BACKLOG / 2, "told after " + before + " of " + BACKLOG);
    }
}
