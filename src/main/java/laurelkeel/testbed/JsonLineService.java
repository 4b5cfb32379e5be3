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

/** A small HTTP service on loopback that answers calls and streams JSON lines to watchers; thread-safe. */
final class JsonLineService {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final byte[] HEARTBEAT_LINE = "{\"kind\":\"beat\"}\n".getBytes(UTF_8);
    private static final long HEARTBEAT_INTERVAL_MILLIS = 500;
    private static final int BACKLOG = 64;
    private static final int MAX_QUEUED_LINES = 1000;
    private static final int OK = 200;
    private static final int NO_BODY = -1;

    /** One open watch. Lines that do not fit its queue end it. Thread-safe, but for its due time. */
    static final class Watcher {
        private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
        private volatile boolean isCut;
        private long lastDueTicks;

        void send(Object message) {
            if (!lines.offer(encode(message))) {
                isCut = true;
            }
        }

        void cut() {
            isCut = true;
        }

        /**
         * When a line is due that must not overtake earlier ones; for one thread only.
         *
         * @param wantedTicks when it would be due alone
         */
        long nextDueTicks(long wantedTicks) {
            lastDueTicks = Math.max(lastDueTicks, wantedTicks);
            return lastDueTicks;
        }
    }

    /** Answers a call; the exchange is closed afterwards. */
    interface Handler {
        /** Answers. */
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
     * Opens a free port.
     *
     * @throws IOException where that fails
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
        cutWatchers();
        server.stop(0);
        threads.shutdownNow();
    }

    /** Answers calls of a path and all paths below it. */
    void handle(String path, Handler handler) {
        server.createContext(path, exchange -> {
            try {
                handler.handle(exchange);
            } finally {
                exchange.close();
            }
        });
    }

    /** The open watches at this moment. */
    List<Watcher> watchers() {
        return new ArrayList<>(watchers);
    }

    void addWatcher(Watcher watcher) {
        watchers.add(watcher);
    }

    void cutWatchers() {
        watchers.forEach(Watcher::cut);
    }

    private static String encode(Object message) {
        try {
            return MAPPER.writeValueAsString(message);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Reads a call's body. */
    static JsonNode readBody(HttpExchange exchange) throws IOException {
        return MAPPER.readTree(exchange.getRequestBody());
    }

    /** Answers a call; null for no body. */
    static void respond(HttpExchange exchange, int status, @Nullable Object message) throws IOException {
        byte[] body = message == null ? new byte[0] : encode(message).getBytes(UTF_8);
        exchange.sendResponseHeaders(status, body.length == 0 ? NO_BODY : body.length);
        exchange.getResponseBody().write(body);
    }

    /** Streams to one watcher until it is cut or its peer has gone. */
    void stream(HttpExchange exchange, Watcher watcher) throws IOException {
        exchange.getResponseHeaders().add("Content-Type", "application/x-ndjson");
        exchange.sendResponseHeaders(OK, 0);
        watchers.add(watcher);
        try (OutputStream out = exchange.getResponseBody()) {
            while (!watcher.isCut) {
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
