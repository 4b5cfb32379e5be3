package laurelkeel.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import laurelkeel.api.Settings.DeduplicationScope;
import laurelkeel.api.Settings.Idempotency;
import laurelkeel.api.Settings.Route;
import laurelkeel.front.ingress.ClientRequest;
import laurelkeel.options.SocketOptions;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpRequest;
import org.junit.jupiter.api.Test;

class ClientRequestParserTest {
    private static final List<Route> ROUTES =
            List.of(route(Idempotency.IDEMPOTENT), route(Idempotency.DEDUPLICATED), route(Idempotency.NOT_IDEMPOTENT));

    private final ClientRequestParser parser = parser(List.of("acme", "umbrella"), true);

    private static Route route(Idempotency idempotency) {
        return new Route(idempotency, DeduplicationScope.ALL, 3_000, 50_000, 1, 0, 0);
    }

    private static ClientRequestParser parser(List<String> tenants, boolean clientsMarkRetries) {
        List<String> names = List.of("look", "pay", "go");
        return new ClientRequestParser(
                ROUTES, new SocketOptions(names, tenants, List.of(), List.of(), clientsMarkRetries, 0, 0, 0));
    }

    private static Headers headers() {
        return Headers.of("X-Correlation-Id", "r1", "X-Account", "umbrella", "X-Time-Left", "0.480");
    }

    private static HttpRequest get(String target, Headers headers) {
        return new HttpRequest("GET", target, 1, headers, new byte[0]);
    }

    private static HttpRequest post(String target, Headers headers) {
        return new HttpRequest("POST", target, 1, headers, "body".getBytes(StandardCharsets.US_ASCII));
    }

    private void assertRejected(int status, String message, HttpRequest request) {
        HttpProtocolException rejected = assertThrows(HttpProtocolException.class, () -> parser.parse(request));
        assertEquals(status, rejected.status());
        assertEquals(message, rejected.getMessage());
    }

    @Test
    void aRequestIsParsed() throws Exception {
        ClientRequest request = parser.parse(
                get("/look/a?b=1", headers().add("X-Session-Key", "k").add("X-Repeat", "1")));
        assertEquals("r1", request.clientRequestId());
        assertEquals(0, request.route());
        assertEquals(1, request.tenant());
        assertEquals("k", request.partitionKey());
        assertEquals(4_800, request.remainingTicks());
        assertTrue(request.clientRetry());
        assertFalse(request.closesConnection());
    }

    @Test
    void onlyTheIdAndTheIdempotencyKeyAreForwarded() throws Exception {
        ClientRequest request = parser.parse(
                post("/pay/x?y=1", headers().add("Idempotency-Key", "m1").add("Other", "x")));
        assertEquals(
                "POST /pay/x?y=1 HTTP/1.1\r\nX-Correlation-Id: r1\r\nIdempotency-Key: m1\r\nContent-Length: 4\r\n",
                new String(request.forwarded().head(), StandardCharsets.US_ASCII));
        assertEquals("body", new String(request.forwarded().body(), StandardCharsets.US_ASCII));
    }

    @Test
    void theRemainingTimeIsAtMostTheRoutesTimeout() throws Exception {
        Headers headers = Headers.of("X-Correlation-Id", "r1", "X-Account", "acme", "X-Time-Left", "100");
        assertEquals(50_000, parser.parse(get("/look", headers)).remainingTicks());
    }

    @Test
    void theRetryHeaderIsIgnoredUnlessClientsSetIt() throws Exception {
        HttpRequest marked = get("/look", headers().add("X-Repeat", "1"));
        assertTrue(parser.parse(marked).clientRetry());
        assertFalse(parser(List.of("umbrella"), false).parse(marked).clientRetry());
        assertFalse(parser.parse(get("/look", headers())).clientRetry());
    }

    @Test
    void withoutConfiguredTenantsEveryRequestHasTenantZero() throws Exception {
        assertEquals(0, parser(List.of(), true).parse(get("/look", headers())).tenant());
    }

    @Test
    void onlyADeduplicatedRouteRequiresAnIdempotencyKey() throws Exception {
        assertRejected(400, "Idempotency-Key is missing", post("/pay", headers()));
        assertEquals(2, parser.parse(post("/go", headers())).route());
    }

    @Test
    void anInvalidRequestIsRejectedWithTheReason() {
        assertRejected(404, "no route has this path", get("/nowhere", headers()));
        assertRejected(405, "this path takes GET", post("/look", headers()));
        assertRejected(405, "this path takes POST", get("/go", headers()));
        assertRejected(400, "a GET has no body", new HttpRequest("GET", "/look", 1, headers(), new byte[] {'x'}));
        assertRejected(400, "X-Correlation-Id is missing", get("/look", new Headers()));
        assertRejected(
                400,
                "X-Correlation-Id must stand once, with 1 to 128 characters",
                get("/look", headers().add("X-Correlation-Id", "r2")));
        assertRejected(
                400,
                "X-Session-Key must stand once, with 1 to 128 characters",
                get("/look", headers().add("X-Session-Key", "x".repeat(129))));
        assertRejected(
                400,
                "X-Account names no customer",
                get("/look", Headers.of("X-Correlation-Id", "r1", "X-Account", "nobody")));
        assertRejected(
                400,
                "X-Time-Left must be a number of seconds above 0",
                get("/look", Headers.of("X-Correlation-Id", "r1", "X-Account", "acme")));
    }

    @Test
    void aRequestWithoutAPartitionKeyHasNone() throws Exception {
        assertNull(parser.parse(get("/look", headers())).partitionKey());
    }
}
