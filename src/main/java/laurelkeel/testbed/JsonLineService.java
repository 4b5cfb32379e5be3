package laurelkeel.testbed;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** A small HTTP service that streams JSON lines to watchers and answers calls; the ground of the two services. */
final class JsonLineService {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final byte[] BEAT = "{\"kind\":\"beat\"}\n".getBytes(StandardCharsets.UTF_8);

    /** One open watch; what does not fit its queue ends it. */
    static final class Watcher {
        private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(1000);
        private volatile boolean cut;
        /** When its last line is due: a later one, however quick, must not overtake it. Its owner's thread only. */
        long lastDue;

        void tell(Object line) {
            cut |= !lines.offer(text(line));
        }

        void cut() {
            cut = true;
        }
    }

    interface Call {
        void answer(HttpExchange x) throws IOException;
    }

    final Set<Watcher> watchers = ConcurrentHashMap.newKeySet();
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r, "standin-service");
        t.setDaemon(true);
        return t;
    });

    JsonLineService() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
        server.setExecutor(threads);
    }

    InetSocketAddress address() {
        return server.getAddress();
    }

    void start() {
        server.start();
    }

    void close() {
        watchers.forEach(Watcher::cut);
        server.stop(0);
        threads.shutdownNow();
    }

    void on(String path, Call call) {
        server.createContext(path, x -> {
            try {
                call.answer(x);
            } finally {
                x.close();
            }
        });
    }

    static String text(Object o) {
        try {
            return JSON.writeValueAsString(o);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    static void say(HttpExchange x, int status, Object o) throws IOException {
        byte[] body = o == null ? new byte[0] : text(o).getBytes(StandardCharsets.UTF_8);
        x.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        x.getResponseBody().write(body);
    }

    /** Streams to one watcher until it is cut or its peer has gone. */
    void stream(HttpExchange x, Watcher w) throws IOException {
        x.getResponseHeaders().add("Content-Type", "application/x-ndjson");
        x.sendResponseHeaders(200, 0);
        watchers.add(w);
        try (OutputStream out = x.getResponseBody()) {
            while (!w.cut) {
                String line = w.lines.poll(500, TimeUnit.MILLISECONDS);
                out.write(line == null ? BEAT : (line + "\n").getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            watchers.remove(w);
        }
    }
}
