package laurelkeel.soak;

import java.util.Locale;
import java.util.Random;

/**
 * One request of a client.
 *
 * @param idempotent whether the request is idempotent by its method and has no body; otherwise an idempotency key makes it so
 * @param timeoutSeconds how long the client waits for the response
 */
record SoakRequest(String id, boolean idempotent, String partitionKey, double timeoutSeconds, String body) {
    /** A request for the health of a node. */
    static final String HEALTH_CHECK = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";

    /** A body of nearly the largest size that the platform allows. */
    static final String LARGE_BODY = "b".repeat(60 << 10);

    private static final int MAX_BODY_LENGTH = 500;
    private static final int PARTITION_KEYS = 100;

    /** Generates a request with a random method, body length and partition key. */
    static SoakRequest generate(Random random, String id, double timeoutSeconds) {
        boolean idempotent = random.nextBoolean();
        String body = idempotent ? "" : "b".repeat(random.nextInt(MAX_BODY_LENGTH));
        String partitionKey = "k" + random.nextInt(PARTITION_KEYS);
        return new SoakRequest(id, idempotent, partitionKey, timeoutSeconds, body);
    }

    /** Returns the request in HTTP/1.1 format. */
    String text() {
        String requestLine = (idempotent ? "GET /look/" : "POST /pay/") + id + " HTTP/1.1\r\n";
        String headers = "Host: app.svc\r\nX-Correlation-Id: " + id + "\r\nX-Account: acme\r\nX-Session-Key: "
                + partitionKey + "\r\nX-Time-Left: " + String.format(Locale.ROOT, "%.3f", timeoutSeconds) + "\r\n";
        String framing = idempotent ? "" : "Idempotency-Key: m-" + id + "\r\nContent-Length: " + body.length() + "\r\n";
        return requestLine + headers + framing + "\r\n" + body;
    }
}
