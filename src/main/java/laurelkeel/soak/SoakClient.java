package laurelkeel.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Locale;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/**
 * One client: a request at a time, over one connection for as long as that stays open, also past a node's SIGTERM. It
 * judges what becomes of each request by the rules of the platform's page.
 */
final class SoakClient implements TcpServer.Task {
    /** An answer may come so long after its time, and earns nothing then (seconds). */
    private static final double LATE_SECONDS = 0.5;
    /** What a crowded host may add (seconds). */
    private static final double HOST_SECONDS = 0.4;
    /** A close that comes so long after a request is no close that crossed it (seconds). */
    private static final double CROSSING_SECONDS = 0.1;
    /** A request that comes so long after SIGTERM and is unanswered at SIGKILL is lost (seconds). */
    private static final double TAKEN_AFTER_TERM = 0.7;
    /** A client that sends half a request has its error or the end of its connection within this (seconds). */
    private static final double BAD_CLIENT_SECONDS = 3;

    private static final int CONNECT_MS = 1_000;
    private static final int SHOWN = 40;

    /** How a client behaves with one request. */
    private enum Manner {
        WAITS,
        LEAVES,
        HALF_CLOSES,
        HURRIES,
        STOPS
    }

    private final Violations violations;
    private final Ledger ledger;
    private final Function<Random, NodeLife> nodes;
    private final BooleanSupplier crowded;
    private final BooleanSupplier broken;
    private final BooleanSupplier ends;
    private final Random random;
    private final String name;
    private Socket socket;
    private InputStream in;
    private NodeLife node;
    private int asked;
    private int number;

    /**
     * @param nodes draws one that takes connections; null where none does
     * @param crowded a node may be full, and turn connections away unread
     * @param broken connections break under their requests on the nodes' side, as a read that fails shows it
     * @param ends asks it to end
     */
    SoakClient(
            String name,
            long seed,
            Violations violations,
            Ledger ledger,
            Function<Random, NodeLife> nodes,
            BooleanSupplier crowded,
            BooleanSupplier broken,
            BooleanSupplier ends) {
        this.name = name;
        this.random = new Random(seed);
        this.violations = violations;
        this.ledger = ledger;
        this.nodes = nodes;
        this.crowded = crowded;
        this.broken = broken;
        this.ends = ends;
    }

    @Override
    public void run() throws InterruptedException {
        while (!ends.getAsBoolean() || socket != null) {
            if (socket == null && !connect()) {
                Thread.sleep(20);
            } else {
                ask();
                Thread.sleep(random.nextInt(40));
            }
        }
    }

    private boolean connect() {
        node = nodes.apply(random);
        if (node == null) {
            return false;
        }
        try {
            socket = new Socket();
            socket.connect(new InetSocketAddress("127.0.0.1", node.port), CONNECT_MS);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            asked = 0;
            return true;
        } catch (IOException e) {
            violations.count("connections refused");
            close();
            return false;
        }
    }

    private void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // it is closed either way
        }
        socket = null;
    }

    private Manner manner() {
        int drawn = random.nextInt(100);
        if (drawn < 3) {
            return Manner.LEAVES;
        } else if (drawn < 5) {
            return Manner.HALF_CLOSES;
        } else if (drawn < 7) {
            return Manner.HURRIES;
        }
        return drawn < 8 ? Manner.STOPS : Manner.WAITS;
    }

    private void ask() throws InterruptedException {
        Manner manner = manner();
        if (manner == Manner.STOPS) {
            stopHalfWay();
            return;
        }
        String id = name + "-" + number++;
        double within = manner == Manner.HURRIES ? 0.005 : 0.3 + 1.7 * random.nextDouble();
        ledger.sent(id, within);
        double sentAt = violations.seconds();
        try {
            TcpServer.write(socket, request(id, within));
            asked++;
            violations.count("requests");
            if (manner == Manner.LEAVES) {
                Thread.sleep(random.nextInt(30));
                close();
                ledger.left(id);
                return;
            }
            if (manner == Manner.HALF_CLOSES) {
                socket.shutdownOutput();
            }
            socket.setSoTimeout((int) ((within + LATE_SECONDS + HOST_SECONDS) * 1000));
            judge(id, NodeResponse.read(in), manner);
        } catch (SocketTimeoutException e) {
            lost(id, sentAt, "has no answer " + (LATE_SECONDS + HOST_SECONDS) + " s after its time");
            close();
        } catch (IOException e) {
            ended(id, sentAt, e.getMessage());
            close();
        }
    }

    /** A client that stops in the middle of a request and stays gets its error or the end of its connection in time. */
    private void stopHalfWay() {
        String request = request(name + "-" + number++, 1);
        double before = violations.seconds();
        try {
            TcpServer.write(socket, request.substring(0, 1 + random.nextInt(request.length() - 1)));
            socket.setSoTimeout((int) ((BAD_CLIENT_SECONDS + HOST_SECONDS) * 1000));
            NodeResponse reply = NodeResponse.read(in);
            violations.count(reply == null ? "stopped half way: closed" : "stopped half way: " + reply.status());
        } catch (SocketTimeoutException e) {
            if (node.process.isAlive() && violations.lateness() < HOST_SECONDS) {
                violations.add(
                        "half",
                        "a client that stopped half way at " + node.name + " heard nothing for "
                                + String.format(Locale.ROOT, "%.1f", violations.seconds() - before) + " s");
            }
        } catch (IOException e) {
            violations.count("stopped half way: reset");
        } finally {
            close();
        }
    }

    private String request(String id, double within) {
        boolean safe = random.nextBoolean();
        String body = safe ? "" : "b".repeat(random.nextInt(500));
        return request(id, safe, "k" + random.nextInt(100), within, body);
    }

    /** One that is safe to repeat, without a body, or one that its mark makes so. */
    static String request(String id, boolean safe, String key, double within, String body) {
        return (safe ? "GET /look/" : "POST /pay/") + id + " HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: " + id
                + "\r\nX-Account: acme\r\nX-Session-Key: " + key + "\r\nX-Time-Left: "
                + String.format(Locale.ROOT, "%.3f", within) + "\r\n"
                + (safe ? "" : "Idempotency-Key: m-" + id + "\r\nContent-Length: " + body.length() + "\r\n") + "\r\n"
                + body;
    }

    private void judge(String id, NodeResponse reply, Manner manner) throws IOException {
        if (reply == null) {
            throw new IOException("ended in order");
        }
        violations.count(
                reply.status() == 200
                        ? "served"
                        : reply.status() == 503 || reply.status() == 429 ? "refused" : "failed");
        if (reply.status() == 200 && !madeFor(id, reply.body())) {
            violations.add(
                    "lost",
                    id + " was served by " + node.name + " with what no server made for it: "
                            + reply.body()
                                    .substring(0, Math.min(SHOWN, reply.body().length())) + " ("
                            + reply.body().length() + " bytes)");
        }
        if (reply.last() || manner == Manner.HALF_CLOSES) {
            close();
        }
    }

    private static boolean madeFor(String id, String body) {
        String[] words = body.split(" ", 4);
        return words.length == 4 && body.equals(Backend.body(words[2], id));
    }

    /** The connection ended without an answer to this request. */
    private void ended(String id, double sentAt, String how) {
        double after = violations.seconds() - sentAt;
        boolean reset = how == null || (!how.equals("ended in order") && !how.equals("an answer that stopped short"));
        if ((reset && asked > 1) || (asked > 1 && after < CROSSING_SECONDS)) {
            violations.count("crossed by the end of a resting connection");
        } else if (reset && (crowded.getAsBoolean() || node.wasTerminated())) {
            violations.count("closed unread");
        } else {
            lost(
                    id,
                    sentAt,
                    "its connection ended after " + Math.round(after * 1000) + " ms: " + how + ", request " + asked
                            + " on it");
        }
    }

    private void lost(String id, double sentAt, String why) {
        if (violations.lateness() > HOST_SECONDS) {
            violations.count("not judged, for this host was late");
            return;
        }
        boolean takenLate = node.wasTerminated() && sentAt > node.terminatedAt + TAKEN_AFTER_TERM;
        if (node.wasKilled() && !takenLate) {
            violations.count("unanswered at a kill");
        } else if (broken.getAsBoolean()) {
            violations.count("broken off by a failing read");
        } else if (!node.process.isAlive() && !node.endAsked) {
            violations.count("unanswered at an end that nobody asked for");
        } else {
            violations.add("lost", id + " at " + node.name + " " + why);
        }
    }
}
