package laurelkeel.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the exact form of the simulated services' messages against their documentation. */
class ServiceMessagesTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Test
    void endpointListFormIsUnchanged() throws Exception {
        EndpointListLine message = new EndpointListLine(
                EndpointListLine.DELTA,
                3,
                2,
                List.of(new EndpointListLine.Endpoint("127.0.0.1:1", 2, "north", 1, 0, 1.0, "live", 4, 12.5)));
        assertEquals(
                "{\"kind\":\"changes\",\"version\":3,\"previous\":2,\"machines\":[{\"machine\":\"127.0.0.1:1\","
                        + "\"build\":2,\"zone\":\"north\",\"cell\":1,\"kind\":0,\"size\":1.0,\"state\":\"live\","
                        + "\"run\":4,\"ageMs\":12.5}]}",
                MAPPER.writeValueAsString(message));
    }

    @Test
    void rolloutUpdateFormIsUnchanged() throws Exception {
        RolloutUpdateMessage update = new RolloutUpdateMessage(
                RolloutUpdateMessage.UPDATE, null, 2, 1, 0.25, "trial", 10, List.of(1, 2), "open");
        assertEquals(
                "{\"kind\":\"news\",\"build\":2,\"stage\":1,\"cap\":0.25,\"phase\":\"trial\",\"ageMs\":12.5,"
                        + "\"standing\":[1,2],\"blame\":\"open\"}",
                MAPPER.writeValueAsString(update.delayedBy(2.5)));
    }

    @Test
    void voteAnswerFormIsUnchanged() throws Exception {
        RolloutUpdateMessage answer = new RolloutUpdateMessage(
                RolloutUpdateMessage.VOTE_ANSWER,
                ServiceTerms.VoteAnswer.RATE_LIMITED.wireName(),
                2,
                1,
                0,
                "going-back",
                10,
                List.of(1),
                "none");
        assertEquals(
                "{\"kind\":\"vote\",\"answer\":\"over-limit\",\"build\":2,\"stage\":1,\"cap\":0.0,"
                        + "\"phase\":\"going-back\",\"ageMs\":10.0,\"standing\":[1],\"blame\":\"none\"}",
                MAPPER.writeValueAsString(answer));
    }

    @Test
    void reportsAreParsedAndIncompleteOnesRejected() throws Exception {
        ReceivedReport report = ReceivedReport.parse(
                MAPPER.readTree(
                        "{\"front\":1,\"life\":\"x\",\"second\":5,\"agoMs\":-3,\"cells\":[{\"build\":2,\"route\":0,\"tries\":4}]}"));
        assertEquals(1, report.nodeIndex());
        assertEquals(5, report.nodeSecond());
        assertEquals(0, report.ageMillis());
        assertEquals(1, report.cells().size());
        for (String incomplete : List.of("{}", "{\"front\":1,\"life\":\"x\",\"second\":5}", "[]")) {
            InvalidReportException failure =
                    assertThrows(InvalidReportException.class, () -> ReceivedReport.parse(MAPPER.readTree(incomplete)));
            assertEquals("a report has front, life, second, agoMs and cells", failure.getMessage());
        }
    }
}
