package laurelkeel.front.controlplane;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import laurelkeel.eventloop.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Follows the release line's news and carries votes to it. Its watch is opened again whenever it ends. */
public final class RolloutSource {
    private static final Logger LOG = LoggerFactory.getLogger(RolloutSource.class);
    private static final ObjectMapper JSON = new ObjectMapper();

    /** On the front's thread, ahead of traffic. */
    public interface Sink {
        void news(RolloutMessage line, long arrived);

        /** answer: as in ReleaseLine, or timeout; line is null unless the answer came. */
        void voted(String answer, int build, RolloutMessage line, long arrived);
    }

    private final HttpClient http;
    private final String base;
    private final int front;
    private final ScheduledExecutorService timer;
    private final EventLoop loop;
    private final Sink sink;
    private final ReconnectBackoff pause;
    private LineWatch watch;
    private boolean closed;

    public RolloutSource(
            HttpClient http,
            String base,
            int front,
            ScheduledExecutorService timer,
            EventLoop loop,
            long seed,
            Sink sink) {
        this.http = http;
        this.base = base;
        this.front = front;
        this.timer = timer;
        this.loop = loop;
        this.sink = sink;
        this.pause = new ReconnectBackoff(seed);
    }

    public synchronized void start() {
        if (closed) {
            return;
        }
        try {
            watch = LineWatch.open(
                    http, URI.create(base + "/release/watch?front=" + front), timer, loop, this::line, this::ended);
        } catch (RuntimeException e) {
            ended(e.toString());
        }
    }

    public synchronized void close() {
        closed = true;
        if (watch != null) {
            watch.cancel();
        }
    }

    private synchronized void ended(String why) {
        if (!closed) {
            LOG.warn("the watch on the release line ended: {}", why);
            timer.schedule(this::start, pause.nextDelayMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void line(String text) {
        long arrived = loop.clockTicks();
        try {
            RolloutMessage l = JSON.readValue(text, RolloutMessage.class);
            if (l == null) {
                return;
            }
            pause.reset();
            String fault = l.fault();
            if (!"beat".equals(l.kind()) && fault != null) {
                LOG.warn("a line of the release line is passed over: {}", fault);
            } else if (!"beat".equals(l.kind())) {
                loop.postPriority(() -> sink.news(l, arrived));
            }
        } catch (JsonProcessingException e) {
            LOG.warn("a line of the release line could not be read and is passed over: {}", e.getOriginalMessage());
        }
    }

    /** Sends what this front saw in one second; lost where the line does not answer, for the next says more. */
    public void report(Object report) {
        try {
            HttpRequest ask = HttpRequest.newBuilder(URI.create(base + "/release/reports"))
                    .timeout(Duration.ofSeconds(2))
                    .header("Content-Type", "application/json")
                    .POST(HttpRequest.BodyPublishers.ofByteArray(JSON.writeValueAsBytes(report)))
                    .build();
            http.sendAsync(ask, HttpResponse.BodyHandlers.discarding());
        } catch (JsonProcessingException | RuntimeException e) {
            LOG.warn("a report could not be sent: {}", e.toString());
        }
    }

    /** Sends a vote; exactly one answer follows, within timeoutMs or as a timeout. */
    public void vote(RolloutMessage.Ballot ballot, long timeoutMs) {
        CompletableFuture<HttpResponse<String>> asked;
        try {
            HttpRequest ask = HttpRequest.newBuilder(URI.create(base + "/release/votes"))
                    .timeout(Duration.ofMillis(timeoutMs))
                    .header("Content-Type", "application/json")
                    .POST(HttpRequest.BodyPublishers.ofByteArray(JSON.writeValueAsBytes(ballot)))
                    .build();
            asked = LineBodySubscriber.ask(http, ask, timer, timeoutMs);
        } catch (JsonProcessingException | RuntimeException e) {
            asked = CompletableFuture.failedFuture(e);
        }
        asked.whenComplete((r, failure) -> {
            long arrived = loop.clockTicks();
            Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
            boolean late = cause instanceof HttpTimeoutException || cause instanceof CancellationException;
            String answer = late ? "timeout" : "error";
            RolloutMessage line = null;
            if (failure == null && r.statusCode() == 200) {
                try {
                    RolloutMessage said = JSON.readValue(r.body(), RolloutMessage.class);
                    if (said == null || (said.phase() != null && said.fault() != null)) {
                        LOG.warn("the answer to a vote is passed over: {}", said == null ? "empty" : said.fault());
                    } else {
                        line = said;
                        answer = line.answer() == null ? "error" : line.answer();
                    }
                } catch (JsonProcessingException e) {
                    LOG.warn("the answer to a vote could not be read: {}", e.getOriginalMessage());
                }
            }
            String told = answer;
            RolloutMessage with = line;
            loop.postPriority(() -> sink.voted(told, ballot.build(), with, arrived));
        });
    }
}
