package laurelkeel.front.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import laurelkeel.eventloop.EventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class WatchSupervisorTest {
    private static final long TIMEOUT_SECONDS = 10;
    /** How long a test waits to see that nothing happens; longer than the first backoff. */
    private static final long NO_EVENT_MILLIS = 1_000;

    private final BlockingQueue<String> requestedUris = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> notifications = new LinkedBlockingQueue<>();
    private final AtomicInteger opened = new AtomicInteger();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final EventLoop loop = new EventLoop(() -> System.nanoTime() / 100_000);
    private final Thread loopThread = new Thread(() -> loop.run(() -> false));
    private HttpServer server;
    private ControlPlaneClient client;

    @BeforeEach
    void start() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 10);
        server.createContext("/watch", this::sendOneLine);
        server.start();
        loopThread.start();
        client = new ControlPlaneClient(HttpClient.newHttpClient(), server.getAddress(), timer, loop);
    }

    @AfterEach
    void stop() throws InterruptedException {
        server.stop(0);
        timer.shutdownNow();
        loop.stop();
        loopThread.join();
    }

    private void sendOneLine(HttpExchange exchange) throws IOException {
        requestedUris.add(exchange.getRequestURI().toString());
        exchange.sendResponseHeaders(200, 0);
        exchange.getResponseBody().write("a line\n".getBytes(StandardCharsets.UTF_8));
        exchange.close();
    }

    private String path() {
        return "/watch?n=" + opened.incrementAndGet();
    }

    @Test
    void aReconnectingSupervisorReopensTheWatchWithANewPath() throws Exception {
        WatchSupervisor watch = WatchSupervisor.reconnecting(client, "test", this::path, lines::add, 1);
        watch.open();
        assertEquals("/watch?n=1", requestedUris.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals("a line", lines.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals("/watch?n=2", requestedUris.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        watch.close();
    }

    @Test
    void aNotifyingSupervisorLeavesReopeningToItsOwner() throws Exception {
        WatchSupervisor watch =
                WatchSupervisor.notifying(client, "test", this::path, lines::add, () -> notifications.add("ended"));
        watch.open();
        assertNotNull(notifications.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals("/watch?n=1", requestedUris.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertNull(requestedUris.poll(NO_EVENT_MILLIS, TimeUnit.MILLISECONDS));
        watch.reopen();
        assertEquals("/watch?n=2", requestedUris.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        watch.close();
    }

    @Test
    void aClosedSupervisorNeitherOpensTheWatchNorNotifies() throws Exception {
        WatchSupervisor watch =
                WatchSupervisor.notifying(client, "test", this::path, lines::add, () -> notifications.add("ended"));
        watch.close();
        watch.open();
        watch.reopen();
        assertNull(requestedUris.poll(NO_EVENT_MILLIS, TimeUnit.MILLISECONDS));
        assertNull(notifications.poll());
    }
}
