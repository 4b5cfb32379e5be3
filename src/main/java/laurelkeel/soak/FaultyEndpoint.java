package laurelkeel.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Map;
import java.util.Objects;
import java.util.Random;

/** An endpoint that serves attempts, fails some of them, and reports each to the {@link AttemptAuditor}; thread-safe. */
final class FaultyEndpoint extends TcpServer {
    private static final ResponseMode[] MODES = ResponseMode.values();
    private static final int SILENCE_MILLIS = 4_000;
    private static final int MIN_SERVICE_MILLIS = 2;
    private static final int SERVICE_SPREAD_MILLIS = 30;
    private static final int PAUSE_BETWEEN_PIECES_MILLIS = 20;
    private static final int PAUSE_BEFORE_CLOSE_MILLIS = 5;
    private static final int MAX_DUPLICATE_DELAY_MILLIS = 5;
    /** A duplicate response that would be sent later than this is omitted. */
    private static final long MAX_DUPLICATE_AGE_NANOS = 7_000_000;

    private static final int PADDING_LENGTHS = 2_000;

    private final String id;
    private final AttemptAuditor auditor;
    private final Random random;
    private final double faultyShare;
    private volatile boolean hanging;

    /** @param faultyShare the share of attempts that are not answered by a plain complete response, from 0 to 1 */
    FaultyEndpoint(String id, AttemptAuditor auditor, long seed, double faultyShare) throws IOException {
        this.id = id;
        this.auditor = auditor;
        this.random = new Random(seed);
        this.faultyShare = faultyShare;
    }

    String id() {
        return id;
    }

    /** Makes the endpoint read requests without responding, for the rest of the run. */
    void hang() {
        hanging = true;
    }

    /** Returns the body of an endpoint's response to a request; its length depends on the request. */
    static String body(String endpointId, String requestId) {
        return "made by " + endpointId + " for " + requestId + " "
                + "x".repeat(Math.floorMod(requestId.hashCode(), PADDING_LENGTHS)) + " end";
    }

    /** Whether this is the body of any endpoint's response to this request. */
    static boolean isBodyFor(String requestId, String body) {
        String[] words = body.split(" ", 4);
        return words.length == 4 && body.equals(body(words[2], requestId));
    }

    private synchronized ResponseMode nextMode() {
        return random.nextDouble() >= faultyShare ? ResponseMode.COMPLETE : MODES[1 + random.nextInt(MODES.length - 1)];
    }

    private synchronized int nextInt(int bound) {
        return random.nextInt(bound);
    }

    @Override
    void serve(Socket socket, InputStream in) throws IOException, InterruptedException {
        for (String requestLine = HttpText.readLine(in); requestLine != null; requestLine = HttpText.readLine(in)) {
            Map<String, String> headers = HttpText.readHeaders(in);
            in.readNBytes(HttpText.contentLength(headers));
            if (hanging) {
                Thread.sleep(SILENCE_MILLIS);
                return;
            }
            String requestId = Objects.requireNonNull(headers.get("x-correlation-id"), requestLine);
            double remainingSeconds = Double.parseDouble(headers.getOrDefault("x-time-left", "0"));
            auditor.attemptReceived(id, requestId, remainingSeconds);
            Thread.sleep(MIN_SERVICE_MILLIS + nextInt(SERVICE_SPREAD_MILLIS));
            if (!respond(socket, nextMode(), body(id, requestId))) {
                return;
            }
        }
    }

    /** Responds to one attempt and returns whether the connection stays open. */
    private boolean respond(Socket socket, ResponseMode mode, String body) throws IOException, InterruptedException {
        String withLength = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n";
        String untilClose = "HTTP/1.1 200 OK\r\n\r\n";
        String part = body.substring(0, nextInt(body.length()));
        switch (mode) {
            case COMPLETE -> HttpText.write(socket, withLength + body);
            case COMPLETE_UNTIL_CLOSE -> {
                HttpText.write(socket, untilClose + body);
                return false;
            }
            case COMPLETE_IN_PIECES -> {
                HttpText.write(socket, "HTTP/1.1 103 Early Hints\r\n\r\n" + withLength + part);
                Thread.sleep(PAUSE_BETWEEN_PIECES_MILLIS);
                HttpText.write(socket, body.substring(part.length()));
            }
            case UNTIL_CLOSE_RESET -> writeAndReset(socket, untilClose + part);
            case LENGTH_RESET -> writeAndReset(socket, withLength + part);
            case LENGTH_TRUNCATED -> writeAndClose(socket, withLength + part);
            case CHUNKS_RESET ->
                writeAndReset(socket, HttpText.CHUNKED_HEAD + Integer.toHexString(body.length()) + "\r\n" + part);
            case NOT_HTTP -> HttpText.write(socket, "\u0001\u0002 noise\r\n\r\n");
            case SILENCE -> Thread.sleep(SILENCE_MILLIS);
            case DUPLICATE -> writeTwice(socket, withLength + body);
            case CLOSED_UNANSWERED -> {
                return false;
            }
            case UNPROCESSED ->
                HttpText.write(
                        socket, "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
            case ERROR -> HttpText.write(socket, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
        }
        return !socket.isClosed();
    }

    private void writeTwice(Socket socket, String response) throws IOException, InterruptedException {
        long startedNanos = System.nanoTime();
        HttpText.write(socket, response);
        Thread.sleep(nextInt(MAX_DUPLICATE_DELAY_MILLIS));
        // a later duplicate could arrive while the node awaits the next response, and no node could tell the two apart
        if (System.nanoTime() - startedNanos < MAX_DUPLICATE_AGE_NANOS) {
            HttpText.write(socket, response);
        }
    }

    private static void writeAndReset(Socket socket, String text) throws IOException, InterruptedException {
        HttpText.write(socket, text);
        // otherwise the reset would discard bytes that the node has not read yet
        Thread.sleep(PAUSE_BEFORE_CLOSE_MILLIS);
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private static void writeAndClose(Socket socket, String text) throws IOException, InterruptedException {
        HttpText.write(socket, text);
        Thread.sleep(PAUSE_BEFORE_CLOSE_MILLIS);
        socket.close();
    }
}
