package laurelkeel.front.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpRequest;
import org.junit.jupiter.api.Test;

class ClientRequestTest {
    private static final RouteTable TABLE = new RouteTable(
            List.of(
                    new RouteTable.Entry("read", "GET", "/read", false),
                    new RouteTable.Entry("write", "POST", "/write", true)),
            List.of("first", "second"));
    private static final long TIMEOUT_TICKS = 5_000;

    private static ClientRequest read(String method, String path, String... headers) throws HttpProtocolException {
        HttpRequest request = new HttpRequest(method, path, 1, Headers.of(headers), new byte[0]);
        return ClientRequest.read(request, TABLE, route -> TIMEOUT_TICKS);
    }

    private static void assertInvalid(int status, String method, String path, String... headers) {
        HttpProtocolException failure = assertThrows(HttpProtocolException.class, () -> read(method, path, headers));
        assertEquals(status, failure.status(), failure.getMessage());
    }

    @Test
    void absentHeadersHaveDefaults() throws Exception {
        ClientRequest request = read("GET", "/read?x=1", "Laurelkeel-Customer", "second");
        assertEquals(0, request.route());
        assertEquals(1, request.tenant());
        assertEquals(TIMEOUT_TICKS, request.remainingTicks());
        assertEquals(0, request.expectedWorkMillis());
        assertNull(request.partitionKey());
        assertFalse(request.clientRetry());
        assertFalse(request.headRequest());
    }

    @Test
    void remainingTimeIsRoundedDownAndLimitedToTheTimeout() throws Exception {
        assertEquals(
                12,
                read("GET", "/read", "Laurelkeel-Customer", "first", "Laurelkeel-Remaining-Ms", "1.29")
                        .remainingTicks());
        assertEquals(
                TIMEOUT_TICKS,
                read("GET", "/read", "Laurelkeel-Customer", "first", "Laurelkeel-Remaining-Ms", "9000")
                        .remainingTicks());
    }

    @Test
    void headersThatNodesSetAreNotForwarded() throws Exception {
        ClientRequest request =
                read("GET", "/read", "Laurelkeel-Customer", "first", "Laurelkeel-Try", "3", "Laurelkeel-Repeat", "1");
        String head = new String(request.forwarded().head(), StandardCharsets.ISO_8859_1);
        assertTrue(head.contains("Laurelkeel-Customer: first") && !head.contains("Laurelkeel-Try"), head);
        assertTrue(request.clientRetry());
    }

    @Test
    void invalidRequestsAreRejectedWithTheirStatus() {
        assertInvalid(404, "GET", "/none");
        assertInvalid(405, "POST", "/read");
        assertInvalid(400, "GET", "/read");
        assertInvalid(400, "GET", "/read", "Laurelkeel-Customer", "third");
        assertInvalid(400, "POST", "/write", "Laurelkeel-Customer", "first");
        assertInvalid(400, "GET", "/read", "Laurelkeel-Customer", "first", "Laurelkeel-Key", "");
        assertInvalid(400, "GET", "/read", "Laurelkeel-Customer", "first", "Laurelkeel-Key", "k".repeat(257));
        assertInvalid(400, "GET", "/read", "Laurelkeel-Customer", "first", "Laurelkeel-Remaining-Ms", "-1");
        assertInvalid(400, "GET", "/read", "Laurelkeel-Customer", "first", "Laurelkeel-Cost-Ms", "NaN");
        assertInvalid(400, "GET", "/read", "Laurelkeel-Customer", "first", "Laurelkeel-Cost-Ms", "long");
    }
}
