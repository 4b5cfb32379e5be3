package laurelkeel.front.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.LoadReport;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpResponse;
import org.junit.jupiter.api.Test;

class EndpointResponseTest {
    private static EndpointResponse response(int status, String... headers) {
        return EndpointResponse.of(new HttpResponse(status, Headers.of(headers), new byte[0]));
    }

    @Test
    void theOutcomeFollowsTheStatus() {
        assertEquals(AttemptOutcome.COMPLETED, response(200).outcome());
        assertEquals(AttemptOutcome.COMPLETED, response(404).outcome());
        assertEquals(AttemptOutcome.COMPLETED, response(429).outcome());
        assertEquals(AttemptOutcome.FAILED, response(500).outcome());
        assertEquals(AttemptOutcome.FAILED, response(503).outcome());
    }

    @Test
    void onlyARejectionThatStatesNonExecutionIsAnOverload() {
        assertEquals(
                AttemptOutcome.OVERLOADED, response(503, "Laurelkeel-Ran", "no").outcome());
        assertEquals(
                AttemptOutcome.OVERLOADED, response(429, "Laurelkeel-Ran", "no").outcome());
        assertEquals(
                AttemptOutcome.FAILED, response(500, "Laurelkeel-Ran", "no").outcome());
        assertEquals(
                AttemptOutcome.FAILED, response(503, "Laurelkeel-Ran", "yes").outcome());
    }

    @Test
    void onlyACompletedResponseIsForwardedAndWithoutHeadersReservedForTheNode() {
        assertNull(response(500).forwarded());
        var forwarded = response(200, "Laurelkeel-Answer", "shed", "X-A", "b").forwarded();
        assertNotNull(forwarded);
        String head = new String(forwarded.head(), StandardCharsets.ISO_8859_1);
        assertTrue(head.contains("X-A: b\r\n") && !head.contains("Laurelkeel-Answer"), head);
    }

    @Test
    void aLoadReportKeepsItsValidValues() {
        assertEquals(LoadReport.NONE, response(200).loadReport());
        assertEquals(
                new LoadReport(Map.of("cpu", 0.5, "queue", 3.0)),
                response(200, "Laurelkeel-Load", "cpu=0.5, bad=x,=1,, queue = 3,")
                        .loadReport());
    }
}
