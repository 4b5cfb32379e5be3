package laurelkeel.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.LoadReport;
import laurelkeel.front.upstream.EndpointResponse;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpResponse;
import laurelkeel.wire.MessageBuilder;
import org.junit.jupiter.api.Test;

class EndpointMessagesTest {
    private static EndpointResponse parse(int status, Headers headers) {
        return EndpointMessages.parse(new HttpResponse(status, headers, "body".getBytes(StandardCharsets.US_ASCII)));
    }

    private static AttemptOutcome outcome(int status, String... headers) {
        return parse(status, Headers.of(headers)).outcome();
    }

    @Test
    void theStatusAndTheNotExecutedHeaderDetermineTheOutcome() {
        assertEquals(AttemptOutcome.COMPLETED, outcome(200));
        assertEquals(AttemptOutcome.COMPLETED, outcome(200, "X-Unprocessed", "1"));
        assertEquals(AttemptOutcome.OVERLOADED, outcome(503, "X-Unprocessed", "1"));
        assertEquals(AttemptOutcome.OVERLOADED, outcome(504, "X-Unprocessed", "1"));
        assertEquals(AttemptOutcome.FAILED, outcome(503));
        assertEquals(AttemptOutcome.FAILED, outcome(503, "X-Unprocessed", "0"));
        assertEquals(AttemptOutcome.FAILED, outcome(500, "X-Unprocessed", "1"));
        assertEquals(AttemptOutcome.FAILED, outcome(201));
    }

    @Test
    void onlyTheBodyOfACompletedResponseIsForwarded() {
        EndpointResponse response = parse(200, Headers.of("Other", "x", "Connection", "close"));
        assertEquals(
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n",
                new String(response.forwarded().head(), StandardCharsets.US_ASCII));
        assertEquals("body", new String(response.forwarded().body(), StandardCharsets.US_ASCII));
        assertTrue(response.closesConnection());
        assertNull(parse(500, new Headers()).forwarded());
    }

    @Test
    void anyResponseMayCarryALoadReport() {
        Headers headers = Headers.of("X-Backend-Load", "{\"inflight\":7}");
        assertEquals(Double.valueOf(7), parse(503, headers).loadReport().concurrentRequests());
        assertEquals(LoadReport.NONE, parse(200, new Headers()).loadReport());
    }

    @Test
    void anAttemptCarriesTheNodesTimeout() {
        MessageBuilder message = new MessageBuilder();
        EndpointMessages.writeAttemptHeaders(message, 4_801);
        assertEquals("Host: app.svc\r\nX-Time-Left: 0.4801\r\n", text(message.takeBytes()));
        EndpointMessages.writeAttemptHeaders(message, -1);
        assertEquals("Host: app.svc\r\nX-Time-Left: 0.0000\r\n", text(message.takeBytes()));
    }

    @Test
    void aHealthCheckIsACompleteRequest() {
        assertEquals(
                "GET /load HTTP/1.1\r\nHost: app.svc\r\n\r\n",
                text(EndpointMessages.healthCheckRequest(new MessageBuilder())));
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.US_ASCII);
    }
}
