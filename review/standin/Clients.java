package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that keep their connections and send one request at a time on each. */
final class Clients {
    /** A request and its answer; the answer is null if there was none. */
    record Exchange(String requestId, double sentAt, double endedAt, Http.Message answer) {}

    /** Receives each exchange. */
    interface Listener {
        void ended(Exchange exchange);
    }

    private static final String[] TENANTS = {"liffey-pay", "corrib-bank", "boyne-mobile", "barrow-retail"};

    private final Record record;
    private final int port;
    private final Listener listener;
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicInteger sent = new AtomicInteger();
    private volatile boolean ended;

    Clients(Record record, int port, Listener listener) {
        this.record = record;
        this.port = port;
        this.listener = listener;
    }

    static String newId() {
        return String.format(Locale.ROOT, "%016x", ThreadLocalRandom.current().nextLong());
    }

    /** Returns a lookup, which is safe to repeat. */
    static String lookup(String id) {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return "GET /lookup/flag HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: " + id + "\r\nX-Account: "
                + TENANTS[random.nextInt(TENANTS.length)] + "\r\nX-Session-Key: "
                + String.format(Locale.ROOT, "%016x", random.nextInt(500)) + "\r\nX-Time-Left: 2.500\r\n\r\n";
    }

    /** Starts clients, each of which sends a lookup every {@code intervalMillis}. */
    void start(int clients, int intervalMillis) {
        for (int i = 0; i < clients; i++) {
            threads.add(Server.daemon("client", () -> run(intervalMillis)));
        }
    }

    int sent() {
        return sent.get();
    }

    private void run(int intervalMillis) throws Exception {
        Thread.sleep(ThreadLocalRandom.current().nextInt(intervalMillis));
        Socket socket = null;
        InputStream in = null;
        while (!ended) {
            String id = newId();
            double sentAt = record.millis();
            Http.Message answer = null;
            try {
                if (socket == null) {
                    socket = new Socket("127.0.0.1", port);
                    socket.setTcpNoDelay(true);
                    socket.setSoTimeout(3_000);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                sent.incrementAndGet();
                Machine.write(socket, lookup(id));
                answer = Http.read(in);
            } catch (IOException e) {
                record.line("client " + id + ": " + e);
            }
            if (answer == null || answer.header("Connection").equalsIgnoreCase("close")) {
                if (socket != null) {
                    socket.close();
                }
                socket = null;
            }
            record.line("client " + id + " sent at " + String.format(Locale.ROOT, "%.1f", sentAt) + ", answer "
                    + (answer == null ? "none" : answer.startLine() + " '" + answer.bodyText().strip() + "'"));
            listener.ended(new Exchange(id, sentAt, record.millis(), answer));
            Thread.sleep(intervalMillis / 2 + ThreadLocalRandom.current().nextInt(intervalMillis));
        }
        if (socket != null) {
            socket.close();
        }
    }

    void end() throws InterruptedException {
        ended = true;
        for (Thread thread : threads) {
            thread.join(4_000);
        }
    }
}
