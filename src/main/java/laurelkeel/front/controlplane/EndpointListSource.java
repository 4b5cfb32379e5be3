package laurelkeel.front.controlplane;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import laurelkeel.eventloop.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows a list service. Pushed: it subscribes at the start and again whenever the watch ends. Asked: it calls only
 * when told to, and says so when a call fails. Lines that do not follow the version held are never applied: the whole
 * list is fetched in their place.
 */
public final class EndpointListSource {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListSource.class);
    private static final ObjectMapper JSON = new ObjectMapper();

    /** On the front's thread, ahead of traffic. arrived is the moment the line's bytes were read. */
    public interface Sink {
        void list(EndpointListMessage line, long arrived);

        void failed();
    }

    private final HttpClient http;
    private final String base;
    private final ScheduledExecutorService timer;
    private final EventLoop loop;
    private final Sink sink;
    private final boolean pushed;
    private final ReconnectBackoff pause;
    private LineWatch watch;
    private long version = -1;
    private boolean closed, fetching;

    public EndpointListSource(
            HttpClient http,
            String base,
            ScheduledExecutorService timer,
            EventLoop loop,
            boolean pushed,
            long seed,
            Sink sink) {
        this.http = http;
        this.base = base;
        this.timer = timer;
        this.loop = loop;
        this.pushed = pushed;
        this.pause = new ReconnectBackoff(seed);
        this.sink = sink;
    }

    public synchronized void start() {
        if (pushed) {
            open();
        }
    }

    public synchronized void close() {
        closed = true;
        if (watch != null) {
            watch.cancel();
        }
    }

    /** Asks for changes from now on, missed ones first; or withdraws. */
    public synchronized void watch(boolean on) {
        if (watch != null) {
            watch.cancel();
            watch = null;
        }
        if (on && !closed) {
            open();
        }
    }

    private synchronized void open() {
        if (!closed) {
            String after = version < 0 ? "" : "?after=" + version;
            try {
                watch = LineWatch.open(
                        http, URI.create(base + "/list/watch" + after), timer, loop, l -> line(l, false), this::ended);
            } catch (RuntimeException e) {
                ended(e.toString());
            }
        }
    }

    private synchronized void ended(String why) {
        watch = null;
        if (closed) {
            return;
        }
        LOG.warn("the watch on the machine list ended: {}", why);
        if (pushed) {
            timer.schedule(this::open, pause.nextDelayMillis(), TimeUnit.MILLISECONDS);
        } else {
            loop.postPriority(sink::failed);
        }
    }

    /** Asks for the whole list once; while an answer is awaited, that one stands for all that ask. */
    public void fetch() {
        synchronized (this) {
            if (closed || fetching) {
                return;
            }
            fetching = true;
        }
        CompletableFuture<HttpResponse<String>> answer;
        try {
            HttpRequest ask = HttpRequest.newBuilder(URI.create(base + "/list"))
                    .timeout(Duration.ofMillis(LineWatch.SILENCE_MS))
                    .GET()
                    .build();
            answer = LineBodySubscriber.ask(http, ask, timer, 2 * LineWatch.SILENCE_MS);
        } catch (RuntimeException e) {
            answer = CompletableFuture.failedFuture(e);
        }
        answer.whenComplete((r, failure) -> {
            synchronized (this) {
                fetching = false;
            }
            if (failure != null || r.statusCode() != 200) {
                LOG.warn(
                        "the machine list could not be fetched: {}",
                        failure == null ? "status " + r.statusCode() : failure.getMessage());
                loop.postPriority(sink::failed);
            } else {
                line(r.body(), true);
            }
        });
    }

    private void line(String text, boolean fetched) {
        long arrived = loop.clockTicks();
        EndpointListMessage l;
        try {
            l = JSON.readValue(text, EndpointListMessage.class);
        } catch (JsonProcessingException e) {
            LOG.warn("a line of the machine list could not be read and is passed over: {}", e.getOriginalMessage());
            return;
        }
        if (l == null) {
            return;
        }
        if (!fetched) {
            pause.reset();
        }
        if ("beat".equals(l.kind()) || l.machines() == null) {
            return;
        }
        String fault = l.fault();
        if (fault != null) {
            LOG.warn("a line of the machine list is passed over: {}", fault);
            return;
        }
        synchronized (this) {
            boolean full = "full".equals(l.kind());
            if (fetched && l.version() < version) {
                // changes after it came by the watch meanwhile
                return;
            }
            if (!full && l.previous() != version) {
                LOG.warn("the list jumped from version {} to {}; fetching it whole", version, l.version());
                fetch();
                return;
            }
            version = l.version();
            loop.postPriority(() -> sink.list(l, arrived));
        }
    }
}
