package laurelkeel.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import laurelkeel.api.Action;
import laurelkeel.api.Event;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A front that ends, for whatever reason, answers what it has read. */
class FrontShutdownTest {
    @TempDir
    Path directory;

    private final CountDownLatch entered = new CountDownLatch(1);
    private final CountDownLatch go = new CountDownLatch(1);
    private final AtomicBoolean failed = new AtomicBoolean();

    /** Holds the loop up at the first request, and fails once it is let go. */
    private List<Action> fail(Event event) {
        if (!(event instanceof Event.RequestReceived) || failed.getAndSet(true)) {
            return List.of();
        }
        entered.countDown();
        try {
            go.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        throw new IllegalStateException("made to fail");
    }

    @Test
    void requestsThatAreReadWhileTheDeciderFailsAreRejected() throws Exception {
        try (FrontTestPeers peers = new FrontTestPeers(directory, "", (p, event) -> fail(event))) {
            Socket first = peers.connectClient();
            FrontTestPeers.send(first, FrontTestPeers.lookRequest(""));
            assertTrue(entered.await(10, TimeUnit.SECONDS));
            Socket other = peers.connectClient();
            FrontTestPeers.send(other, FrontTestPeers.lookRequest(""));
            FrontTestPeers.send(first, FrontTestPeers.lookRequest(""));
            FrontTestRig.await("both are read", () -> peers.front.loop().queuedTasks() >= 2);
            go.countDown();
            String errored = FrontTestPeers.receive(first);
            assertTrue(errored.startsWith("HTTP/1.1 502 "), "it may have run, for all that is known");
            assertTrue(errored.contains("Connection: close"), "which says that what was sent behind it is not begun");
            assertEquals("<end>", FrontTestPeers.receive(first));
            assertTrue(FrontTestPeers.receive(other).startsWith("HTTP/1.1 503 "), "it was read and not begun");
            assertEquals("<end>", FrontTestPeers.receive(other));
            assertEquals(
                    "made to fail",
                    peers.front.termination().get(10, TimeUnit.SECONDS).getMessage());
        }
    }
}
