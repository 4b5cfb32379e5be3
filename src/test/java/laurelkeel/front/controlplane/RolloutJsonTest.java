package laurelkeel.front.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import laurelkeel.api.Action.Verdict;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.partition.PartitionedDecider.Attribution;
import org.junit.jupiter.api.Test;

class RolloutJsonTest {
    private static final String STATUS =
            "{\"kind\":\"news\",\"build\":9,\"stage\":1,\"cap\":0.4,\"phase\":\"trial\",\"ageMs\":30}";

    private static RolloutJson read(String line) throws InvalidMessageException {
        RolloutJson json = RolloutJson.read(line);
        assertNotNull(json);
        return json;
    }

    private static String error(String line) {
        return assertThrows(InvalidMessageException.class, () -> read(line).parse())
                .getMessage();
    }

    @Test
    void statusIsParsedByItsDocumentedNames() throws Exception {
        String line = STATUS.replace("}", ",\"standing\":[8,9],\"blame\":\"set-aside\"}");
        assertEquals(
                new RolloutMessage.Status(9, 1, 0.4, RolloutPhase.CANARY, 30, List.of(8, 9), Attribution.SET_ASIDE),
                read(line).parse());
        assertEquals(
                new RolloutMessage.Status(9, 1, 0.4, RolloutPhase.CANARY, 30, null, Attribution.NONE),
                read(STATUS).parse());
    }

    @Test
    void statisticsAreParsedByTheirDocumentedNames() throws Exception {
        assertEquals(
                new RolloutMessage.Statistics(9, 1, 50, 3, 12.5, 40, Attribution.NONE),
                read("{\"kind\":\"counts\",\"build\":9,\"route\":1,\"tries\":50,\"errors\":3,\"meanMs\":12.5,"
                                + "\"ageMs\":40}")
                        .parse());
    }

    @Test
    void heartbeatsYieldNoMessage() throws Exception {
        assertNull(read("{\"kind\":\"beat\"}").parse());
        assertNull(RolloutJson.read("null"));
    }

    @Test
    void errorsNameTheFieldAndTheReason() {
        assertEquals("unknown phase 'null'", error("{\"kind\":\"news\",\"build\":9}"));
        assertEquals("unknown phase 'perhaps'", error(STATUS.replace("trial", "perhaps")));
        assertEquals("stage is negative: -1", error(STATUS.replace("\"stage\":1", "\"stage\":-1")));
        assertEquals("cap is not between 0 and 1: 7.0", error(STATUS.replace("0.4", "7")));
        assertEquals("standing contains null", error(STATUS.replace("}", ",\"standing\":[null]}")));
    }

    @Test
    void anUnknownAttributionCountsAsNone() throws Exception {
        RolloutMessage message =
                read(STATUS.replace("}", ",\"blame\":\"whoever\"}")).parse();
        assertNotNull(message);
        assertEquals(Attribution.NONE, message.attribution());
    }

    @Test
    void voteResponsesMayIncludeTheStatusOfTheRollout() throws Exception {
        VoteResponse response =
                read(STATUS.replace("}", ",\"answer\":\"moot\"}")).parseVoteResponse();
        assertEquals(ControlStatus.STALE, response.status());
        assertEquals(read(STATUS).parse(), response.rollout());
        assertEquals(
                new VoteResponse(ControlStatus.OK, null),
                read("{\"answer\":\"ok\"}").parseVoteResponse());
        assertEquals(new VoteResponse(ControlStatus.FAILED, null), read("{}").parseVoteResponse());
        assertThrows(InvalidMessageException.class, () -> read(STATUS.replace("trial", "perhaps"))
                .parseVoteResponse());
    }

    @Test
    void rolledBackReturnsTheStatusOfARolledBackBuild() {
        RolloutMessage.Status canary =
                new RolloutMessage.Status(9, 1, 0.4, RolloutPhase.CANARY, 30, List.of(9), Attribution.GUILTY);
        assertEquals(
                new RolloutMessage.Status(9, 1, 0, RolloutPhase.ROLLED_BACK, 0, null, Attribution.NONE),
                canary.rolledBack());
    }

    @Test
    void votesAreWrittenWithTheirDocumentedNames() throws Exception {
        assertEquals(
                "{\"front\":2,\"build\":9,\"stage\":1,\"verdict\":\"back\"}",
                new ObjectMapper()
                        .writeValueAsString(new VoteJson(2, 9, 1, ControlPlaneTerms.name(Verdict.ROLL_BACK))));
    }
}
