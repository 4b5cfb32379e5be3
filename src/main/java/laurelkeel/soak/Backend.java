package laurelkeel.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Map;
import java.util.Random;

/** A server behind the nodes: answers requests, spoils some of its answers, and judges what reaches it. */
final class Backend extends TcpServer {
    /** How it may answer one attempt. The first serves it; of the others each fails it in a way of its own. */
    private enum Answer {
        WHOLE,
        WHOLE_UNTIL_CLOSE,
        WHOLE_IN_PIECES,
        UNTIL_CLOSE_RESET,
        LENGTH_RESET,
        LENGTH_CUT_SHORT,
        CHUNKS_RESET,
        NOISE,
        SILENCE,
        EXTRA_BYTES,
        CLOSED_UNANSWERED,
        UNPROCESSED,
        ERROR
    }

    private static final Answer[] ANSWERS = Answer.values();
    /** How long a client may have gone before an attempt for it begins, and how late a drained server may be asked. */
    private static final double SLACK_SECONDS = 0.25;

    private static final int SILENT_MS = 4_000;
    /** A second copy of an answer comes some milliseconds behind it, and no later where this host runs late. */
    private static final long EXTRA_NANOS = 7_000_000;

    final String id;
    private final Ledger ledger;
    private final Random random;
    private final double spoilt;
    private volatile boolean hangs;

    /** @param spoilt the share of attempts that it does not serve as it should */
    Backend(String id, Ledger ledger, long seed, double spoilt) throws IOException {
        this.id = id;
        this.ledger = ledger;
        this.random = new Random(seed);
        this.spoilt = spoilt;
    }

    /** From now on it reads and says nothing. */
    void hang() {
        hangs = true;
    }

    /** The one body that this server makes for a request; its length varies with the request. */
    static String body(String server, String requestId) {
        return "made by " + server + " for " + requestId + " " + "x".repeat(Math.floorMod(requestId.hashCode(), 2_000))
                + " end";
    }

    private synchronized Answer draw() {
        return random.nextDouble() >= spoilt ? Answer.WHOLE : ANSWERS[1 + random.nextInt(ANSWERS.length - 1)];
    }

    private synchronized int drawBelow(int bound) {
        return random.nextInt(bound);
    }

    @Override
    void serve(Socket socket, InputStream in) throws IOException, InterruptedException {
        for (String first = line(in); first != null; first = line(in)) {
            Map<String, String> headers = headers(in);
            in.readNBytes(contentLength(headers));
            if (hangs) {
                Thread.sleep(SILENT_MS);
                return;
            }
            String requestId = headers.get("x-correlation-id");
            ledger.attempted(
                    this, requestId, Double.parseDouble(headers.getOrDefault("x-time-left", "0")), SLACK_SECONDS);
            Thread.sleep(2 + drawBelow(30));
            if (!answer(socket, draw(), body(id, requestId))) {
                return;
            }
        }
    }

    /** True where the connection goes on. */
    private boolean answer(Socket socket, Answer how, String body) throws IOException, InterruptedException {
        String length = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n";
        String untilClose = "HTTP/1.1 200 OK\r\n\r\n";
        String part = body.substring(0, drawBelow(body.length()));
        switch (how) {
            case WHOLE -> write(socket, length + body);
            case WHOLE_IN_PIECES -> {
                write(socket, "HTTP/1.1 103 Early Hints\r\n\r\n" + length + part);
                Thread.sleep(20);
                write(socket, body.substring(part.length()));
            }
            case WHOLE_UNTIL_CLOSE -> {
                write(socket, untilClose + body);
                return false;
            }
            case UNTIL_CLOSE_RESET -> cut(socket, untilClose + part, true);
            case LENGTH_RESET -> cut(socket, length + part, true);
            case LENGTH_CUT_SHORT -> cut(socket, length + part, false);
            case CHUNKS_RESET ->
                cut(
                        socket,
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length())
                                + "\r\n" + part,
                        true);
            case NOISE -> write(socket, "\u0001\u0002 noise\r\n\r\n");
            case SILENCE -> Thread.sleep(SILENT_MS);
            case EXTRA_BYTES -> {
                long before = System.nanoTime();
                write(socket, length + body);
                Thread.sleep(drawBelow(5));
                // later it may meet the next request's wait, where no node could tell it from that one's answer
                if (System.nanoTime() - before < EXTRA_NANOS) {
                    write(socket, length + body);
                }
            }
            case CLOSED_UNANSWERED -> {
                return false;
            }
            case UNPROCESSED ->
                write(socket, "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
            case ERROR -> write(socket, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
        }
        return !socket.isClosed();
    }

    private static void cut(Socket socket, String text, boolean reset) throws IOException, InterruptedException {
        write(socket, text);
        // or the reset would take back what has not been read yet
        Thread.sleep(5);
        if (reset) {
            reset(socket);
        } else {
            socket.close();
        }
    }
}
