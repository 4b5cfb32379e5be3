package laurelkeel.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AdminServerTest {
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final HttpClient client = HttpClient.newHttpClient();
    private volatile String health = "ok";
    private final AdminServer server = new AdminServer(
            threads, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), () -> health, () -> "a_metric 1\n");

    @BeforeEach
    void start() throws IOException {
        server.start();
    }

    @AfterEach
    void close() {
        server.close();
        threads.shutdown();
    }

    private String call(String method, String path) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + server.address().getPort() + path);
        HttpRequest request = HttpRequest.newBuilder(uri)
                .method(method, HttpRequest.BodyPublishers.noBody())
                .build();
        HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
        return response.statusCode() + " " + response.body();
    }

    @Test
    void healthIsOkOrUnavailable() throws Exception {
        assertEquals("200 ok\n", call("GET", "/health"));
        health = "draining";
        assertEquals("503 draining\n", call("GET", "/health"));
        assertEquals("503 ", call("HEAD", "/health"));
    }

    @Test
    void metricsReturnTheTextOfTheSupplier() throws Exception {
        assertEquals("200 a_metric 1\n", call("GET", "/metrics"));
    }

    @Test
    void otherPathsAndMethodsAreRejected() throws Exception {
        assertTrue(call("GET", "/other").startsWith("404 "));
        assertTrue(call("DELETE", "/metrics").startsWith("405 "));
    }
}
