package laurelkeel.front.controlplane;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import laurelkeel.eventloop.EventLoop;
import org.jspecify.annotations.Nullable;

/**
 * One long GET whose response is lines. A source that ends no line for a while, not even a heartbeat, is taken as dead:
 * a silent stall must not pass for a list that does not change. Lines are handed over one at a time on the HTTP client's
 * threads, and no further ones are read before the event loop has dealt with them.
 */
final class LineWatch {
    private static final long SILENCE_TIMEOUT_MILLIS = ControlPlaneClient.SILENCE_TIMEOUT_MILLIS;
    private static final long SILENCE_CHECK_MILLIS = SILENCE_TIMEOUT_MILLIS / 4;
    private static final int OK = 200;

    private final Consumer<String> onLine;
    private final Consumer<String> onEnded;
    private final LineBodySubscriber body;
    private final ScheduledFuture<?> silenceCheck;
    private volatile long lastLineNanos = System.nanoTime();
    private boolean ended;

    private LineWatch(
            ScheduledExecutorService timer, EventLoop loop, Consumer<String> onLine, Consumer<String> onEnded) {
        this.onLine = onLine;
        this.onEnded = onEnded;
        // what the lines themselves post goes ahead of the request for more
        body = new LineBodySubscriber(this::handOver, loop::postPriority);
        silenceCheck = timer.scheduleWithFixedDelay(
                this::checkSilence, SILENCE_CHECK_MILLIS, SILENCE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Opens a watch.
     *
     * @param onEnded called once with the reason, unless the watch is cancelled
     */
    static LineWatch open(
            HttpClient http,
            URI uri,
            ScheduledExecutorService timer,
            EventLoop loop,
            Consumer<String> onLine,
            Consumer<String> onEnded) {
        HttpRequest request = HttpRequest.newBuilder(uri)
                .timeout(Duration.ofMillis(SILENCE_TIMEOUT_MILLIS))
                .GET()
                .build();
        LineWatch watch = new LineWatch(timer, loop, onLine, onEnded);
        ControlPlaneClient.whenDone(http.sendAsync(request, watch::subscriber), watch::onResponseEnded);
        return watch;
    }

    private HttpResponse.BodySubscriber<String> subscriber(HttpResponse.ResponseInfo info) {
        return info.statusCode() == OK ? body : HttpResponse.BodySubscribers.replacing("");
    }

    private void onResponseEnded(@Nullable HttpResponse<String> response, @Nullable Throwable failure) {
        if (response == null) {
            end(describe(failure));
        } else if (response.statusCode() != OK) {
            end("status " + response.statusCode());
        } else {
            end("the source closed it");
        }
    }

    private static String describe(@Nullable Throwable failure) {
        String message = failure == null ? null : failure.getMessage();
        return message == null ? String.valueOf(failure) : message;
    }

    private void checkSilence() {
        if (System.nanoTime() - lastLineNanos > TimeUnit.MILLISECONDS.toNanos(SILENCE_TIMEOUT_MILLIS)) {
            end("silent for " + SILENCE_TIMEOUT_MILLIS + " ms");
        }
    }

    /** Ends the watch; nobody is notified. */
    void cancel() {
        finish();
    }

    private synchronized boolean finish() {
        boolean isFirst = !ended;
        ended = true;
        silenceCheck.cancel(false);
        body.cancel();
        return isFirst;
    }

    private void end(String reason) {
        if (finish()) {
            onEnded.accept(reason);
        }
    }

    private synchronized boolean hasEnded() {
        return ended;
    }

    private void handOver(String line) {
        lastLineNanos = System.nanoTime();
        if (!hasEnded() && !line.isBlank()) {
            onLine.accept(line);
        }
    }
}
