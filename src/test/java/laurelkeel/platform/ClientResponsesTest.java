package laurelkeel.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.charset.StandardCharsets;
import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpResponse;
import org.junit.jupiter.api.Test;

class ClientResponsesTest {
    private static String body(HttpResponse response) {
        return new String(response.body(), StandardCharsets.UTF_8);
    }

    @Test
    void aRejectionCarriesRetryAfterInDecimalSeconds() {
        HttpResponse response = ClientResponses.rejected(5_001, "at capacity");
        assertEquals(503, response.status());
        assertEquals("0.501", response.headers().get("Retry-After"));
        assertEquals("text/plain", response.headers().get("Content-Type"));
        assertEquals("at capacity\n", body(response));
        assertNull(ClientResponses.rejected(0, "at capacity").headers().get("Retry-After"));
    }

    @Test
    void aTimeoutAndAnotherFailureHaveDifferentStatuses() {
        assertEquals(504, ClientResponses.failed(true, "late").status());
        assertEquals(502, ClientResponses.failed(false, "failed").status());
        assertEquals("failed\n", body(ClientResponses.failed(false, "failed")));
    }

    @Test
    void anInvalidRequestGetsItsStatusAndReason() {
        HttpResponse response = ClientResponses.badRequest(new HttpProtocolException(405, "this path takes GET"));
        assertEquals(405, response.status());
        assertEquals("this path takes GET\n", body(response));
    }
}
