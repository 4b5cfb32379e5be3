package laurelkeel.testbed;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** A small HTTP service on loopback that answers calls and streams JSON lines to watchers. Thread-safe. */
final class JsonLineService {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final byte[] HEARTBEAT_LINE = "{\"kind\":\"beat\"}\n".getBytes(UTF_8);
    private static final long HEARTBEAT_INTERVAL_MILLIS = 500;
    private static final int BACKLOG = 64;
    private static final int MAX_QUEUED_LINES = 1000;
    private static final int OK = 200;
    private static final int NO_BODY = -1;

    /** One open watch; it is closed when its line queue overflows. Thread-safe, except for its due time. */
    static final class Watcher {
        private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
        private volatile boolean isClosed;
        private long lastDueTicks;

        void send(Object message) {
            if (!lines.offer(encode(message))) {
                isClosed = true;
            }
        }

        void close() {
            isClosed = true;
        }

        /**
         * Returns the time at which a line is due, no earlier than the lines before it, so that order is preserved. To
         * be called by one thread only.
         *
         * @param wantedTicks when the line would be due without earlier lines
         */
        long nextDueTicks(long wantedTicks) {
            lastDueTicks = Math.max(lastDueTicks, wantedTicks);
            return lastDueTicks;
        }
    }

    /** Answers a call; the exchange is closed afterwards. */
    interface Handler {
        void handle(HttpExchange exchange) throws IOException;
    }

    private final Set<Watcher> watchers = ConcurrentHashMap.newKeySet();
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "test-bed-service");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * Binds a free port.
     *
     * @throws IOException if no port can be bound
     */
    JsonLineService() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        server.setExecutor(threads);
    }

    InetSocketAddress address() {
        return server.getAddress();
    }

    void start() {
        server.start();
    }

    void close() {
        closeWatchers();
        server.stop(0);
        threads.shutdownNow();
    }

    /** Registers the handler for a path and all paths below it. */
    void handle(String path, Handler handler) {
        server.createContext(path, exchange -> {
            try {
                handler.handle(exchange);
            } finally {
                exchange.close();
            }
        });
    }

    /** Returns a copy of the set of open watches. */
    List<Watcher> watchers() {
        return new ArrayList<>(watchers);
    }

    void addWatcher(Watcher watcher) {
        watchers.add(watcher);
    }

    void closeWatchers() {
        watchers.forEach(Watcher::close);
    }

    private static String encode(Object message) {
        try {
            return MAPPER.writeValueAsString(message);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Reads a call's body as JSON. */
    static JsonNode readBody(HttpExchange exchange) throws IOException {
        return MAPPER.readTree(exchange.getRequestBody());
    }

    /** Sends the response to a call; a null message gives an empty body. */
    static void respond(HttpExchange exchange, int status, @Nullable Object message) throws IOException {
        byte[] body = message == null ? new byte[0] : encode(message).getBytes(UTF_8);
        exchange.sendResponseHeaders(status, body.length == 0 ? NO_BODY : body.length);
        exchange.getResponseBody().write(body);
    }

    /** Streams lines and heartbeats to one watcher until the watch is closed or its peer disconnects. */
    void stream(HttpExchange exchange, Watcher watcher) throws IOException {
        exchange.getResponseHeaders().add("Content-Type", "application/x-ndjson");
        exchange.sendResponseHeaders(OK, 0);
        watchers.add(watcher);
        try (OutputStream out = exchange.getResponseBody()) {
            while (!watcher.isClosed) {
                String line = watcher.lines.poll(HEARTBEAT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
                out.write(line == null ? HEARTBEAT_LINE : (line + "\n").getBytes(UTF_8));
                out.flush();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            watchers.remove(watcher);
        }
    }
}
