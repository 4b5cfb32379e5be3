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

/** A front node that shuts down, for any reason, answers the requests that it has read. */
class FrontShutdownTest {
    @TempDir
    Path directory;

    private final CountDownLatch entered = new CountDownLatch(1);
    private final CountDownLatch resume = new CountDownLatch(1);
    private final AtomicBoolean failed = new AtomicBoolean();

    /** Blocks the loop at the first request until {@link #resume} is counted down, and then throws. */
    private List<Action> fail(Event event) {
        if (!(event instanceof Event.RequestReceived) || failed.getAndSet(true)) {
            return List.of();
        }
        entered.countDown();
        try {
            resume.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        throw new IllegalStateException("thrown by the test");
    }

    @Test
    void requestsThatAreReadWhileTheDeciderFailsAreRejected() throws Exception {
        try (FrontTestPeers peers = new FrontTestPeers(directory, "", (self, event) -> fail(event))) {
            Socket first = peers.connectClient();
            FrontTestPeers.send(first, FrontTestPeers.lookRequest(""));
            assertTrue(entered.await(10, TimeUnit.SECONDS));
            Socket other = peers.connectClient();
            FrontTestPeers.send(other, FrontTestPeers.lookRequest(""));
            FrontTestPeers.send(first, FrontTestPeers.lookRequest(""));
            FrontTestRig.await(
                    "both requests are read", () -> peers.front.loop().queuedTasks() >= 2);
            resume.countDown();
            String errored = FrontTestPeers.receive(first);
            assertTrue(errored.startsWith("HTTP/1.1 502 "), "the request may have run");
            assertTrue(errored.contains("Connection: close"), "tells the client that its next request was not begun");
            assertEquals("<end>", FrontTestPeers.receive(first));
            assertTrue(FrontTestPeers.receive(other).startsWith("HTTP/1.1 503 "), "the request was read and not begun");
            assertEquals("<end>", FrontTestPeers.receive(other));
            assertEquals(
                    "thrown by the test",
                    peers.front.termination().get(10, TimeUnit.SECONDS).getMessage());
        }
    }
}
