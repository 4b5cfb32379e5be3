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

/**
 * One long GET whose body is lines. A source that ends no line for a while, not even a beat, is held to be dead:
 * a silent stall must not pass for an unchanged world. Told lines come one at a time, on the client's threads, and no
 * further ones are read before the loop has dealt with them.
 */
final class LineWatch {
    static final long SILENCE_MS = 3_000;

    private final Consumer<String> line;
    private final Consumer<String> ended;
    private final LineBodySubscriber body;
    private ScheduledFuture<?> silence;
    private volatile long heardAt = System.nanoTime();
    private boolean over;

    private LineWatch(EventLoop loop, Consumer<String> line, Consumer<String> ended) {
        this.line = line;
        this.ended = ended;
        // the lines themselves are posted ahead of this
        this.body = LineBodySubscriber.lines(this::heard, loop::postPriority);
    }

    /** @param ended told once, with the reason, unless cancelled from here */
    static LineWatch open(
            HttpClient http,
            URI uri,
            ScheduledExecutorService timer,
            EventLoop loop,
            Consumer<String> line,
            Consumer<String> ended) {
        LineWatch w = new LineWatch(loop, line, ended);
        w.silence = timer.scheduleWithFixedDelay(w::look, SILENCE_MS / 4, SILENCE_MS / 4, TimeUnit.MILLISECONDS);
        HttpRequest ask = HttpRequest.newBuilder(uri)
                .timeout(Duration.ofMillis(SILENCE_MS))
                .GET()
                .build();
        http.sendAsync(ask, info -> info.statusCode() == 200 ? w.body : HttpResponse.BodySubscribers.replacing(null))
                .whenComplete((r, failure) -> {
                    if (failure != null) {
                        w.end(failure.getMessage() == null ? failure.toString() : failure.getMessage());
                    } else if (r.statusCode() != 200) {
                        w.end("status " + r.statusCode());
                    } else {
                        w.end("the source closed it");
                    }
                });
        return w;
    }

    private void look() {
        if (System.nanoTime() - heardAt > SILENCE_MS * 1_000_000) {
            end("silent for " + SILENCE_MS + " ms");
        }
    }

    void cancel() {
        finish();
    }

    private synchronized boolean finish() {
        boolean first = !over;
        over = true;
        silence.cancel(false);
        body.cancel();
        return first;
    }

    private void end(String why) {
        if (finish()) {
            ended.accept(why);
        }
    }

    private void heard(String text) {
        heardAt = System.nanoTime();
        synchronized (this) {
            if (over) {
                return;
            }
        }
        if (!text.isBlank()) {
            line.accept(text);
        }
    }
}
