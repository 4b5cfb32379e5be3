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
 * A long-lived GET request whose response is a stream of lines. A source that completes no line within a timeout, not even
 * a heartbeat, is treated as down: otherwise a stalled connection would look like a list that does not change. Lines are
 * delivered one at a time on the HTTP client's threads, and no more are read until the event loop has processed them.
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
        // tasks posted by the lines run before the request for the next part
        body = new LineBodySubscriber(this::deliverLine, loop::postPriority);
        silenceCheck = timer.scheduleWithFixedDelay(
                this::checkSilence, SILENCE_CHECK_MILLIS, SILENCE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Opens a watch.
     *
     * @param onEnded called once with the reason when the watch ends, unless it is cancelled
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
            end("the server closed the stream");
        }
    }

    private static String describe(@Nullable Throwable failure) {
        String message = failure == null ? null : failure.getMessage();
        return message == null ? String.valueOf(failure) : message;
    }

    private void checkSilence() {
        if (System.nanoTime() - lastLineNanos > TimeUnit.MILLISECONDS.toNanos(SILENCE_TIMEOUT_MILLIS)) {
            end("no line received for " + SILENCE_TIMEOUT_MILLIS + " ms");
        }
    }

    /** Ends the watch without calling {@code onEnded}. */
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

    private void deliverLine(String line) {
        lastLineNanos = System.nanoTime();
        if (!hasEnded() && !line.isBlank()) {
            onLine.accept(line);
        }
    }
}
