package laurelkeel.front.controlplane;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import laurelkeel.eventloop.EventLoop;
import org.jspecify.annotations.Nullable;

/** HTTP client of one control plane service. Thread-safe. */
public final class ControlPlaneClient {
    /** A service is treated as down if its watch completes no line, not even a heartbeat, for this long. */
    static final long SILENCE_TIMEOUT_MILLIS = 3_000;

    private final HttpClient http;
    private final String baseUri;
    private final ScheduledExecutorService timer;
    private final EventLoop loop;

    /**
     * Creates a client of the service at an address.
     *
     * @param timer cancels calls that exceed their timeout
     * @param loop receives all results
     */
    public ControlPlaneClient(
            HttpClient http, InetSocketAddress address, ScheduledExecutorService timer, EventLoop loop) {
        this.http = http;
        this.timer = timer;
        this.loop = loop;
        baseUri = "http://" + address.getHostString() + ":" + address.getPort();
    }

    EventLoop loop() {
        return loop;
    }

    /**
     * Opens a watch.
     *
     * @param onLine called on the HTTP client's threads, for one line at a time
     * @param onEnded called once with the reason when the watch ends, unless its owner cancels it
     */
    LineWatch openWatch(String path, Consumer<String> onLine, Consumer<String> onEnded) {
        return LineWatch.open(http, URI.create(baseUri + path), timer, loop, onLine, onEnded);
    }

    /**
     * Sends a GET request and returns the response with its body as text.
     *
     * @param headerTimeoutMillis the longest wait for the response headers
     * @param totalTimeoutMillis the longest wait for the complete response
     */
    CompletableFuture<HttpResponse<String>> get(String path, long headerTimeoutMillis, long totalTimeoutMillis) {
        try {
            return send(request(path, headerTimeoutMillis).GET().build(), totalTimeoutMillis);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Posts JSON and returns the response with its body as text; the timeout covers the complete exchange. */
    CompletableFuture<HttpResponse<String>> post(String path, byte[] json, long timeoutMillis) {
        try {
            return send(postRequest(path, json, timeoutMillis), timeoutMillis);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Posts JSON and ignores the response. */
    @SuppressWarnings("FutureReturnValueIgnored") // such a message is of no use later and is not worth a retry
    void postWithoutResponse(String path, byte[] json, long timeoutMillis) {
        http.sendAsync(postRequest(path, json, timeoutMillis), HttpResponse.BodyHandlers.discarding());
    }

    private HttpRequest postRequest(String path, byte[] json, long timeoutMillis) {
        return request(path, timeoutMillis)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofByteArray(json))
                .build();
    }

    private HttpRequest.Builder request(String path, long headerTimeoutMillis) {
        return HttpRequest.newBuilder(URI.create(baseUri + path)).timeout(Duration.ofMillis(headerTimeoutMillis));
    }

    private CompletableFuture<HttpResponse<String>> send(HttpRequest request, long totalTimeoutMillis) {
        CompletableFuture<HttpResponse<String>> response = http.sendAsync(request, info -> new TextBodySubscriber());
        // the timeout of an HttpRequest covers only the headers: the body may take forever
        ScheduledFuture<?> timeout =
                timer.schedule(() -> response.cancel(true), totalTimeoutMillis, TimeUnit.MILLISECONDS);
        whenDone(response, (received, failure) -> timeout.cancel(false));
        return response;
    }

    /** Runs an action when a call has ended, with its response or its failure. */
    @SuppressWarnings("FutureReturnValueIgnored") // the action reports how the call ended
    static <T> void whenDone(CompletableFuture<T> call, BiConsumer<? super T, ? super @Nullable Throwable> action) {
        call.whenComplete(action);
    }

    /** Runs a task after a delay. */
    @SuppressWarnings("FutureReturnValueIgnored") // the task reports its own failures
    void schedule(Runnable task, long delayMillis) {
        timer.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }
}
