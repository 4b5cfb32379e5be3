package laurelkeel.simulatoradapter;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import laurelkeel.decision.RoutingDecider;
import org.junit.jupiter.api.Test;

/** The adapter answers the simulator's batches and rejects malformed ones. */
class SimulatorAdapterTest {
    private static final String FIRST_BATCH =
            """
            round 1000.25 1
            create 0 7 balancers=1 services.count=1 services.0.effect=safe services.0.onTime=800.0 unknown.key=3 \
            allowed.maxAttempts=3 familyInfo.stageCap=0.1,1.0 familyInfo.gateMode=first_voice selfIndex=0
            pool 2 1
            item 4 0 0 0 1 live - 10.0.0.1:80
            membership 0 C 2 5
            release_state 0 OK 0 1 0.0 2 4 0
            commit
            """;

    private static String reply(String text) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorAdapter(RoutingDecider::new)
                .run(new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)), out);
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void forwardsARequestAndAcknowledgesTheBatch() throws Exception {
        String reply = reply(FIRST_BATCH + "round 1005.25 2\nincoming 0 r-1 0 0 - 1800.0 - 0 0\ncommit\n");
        assertTrue(reply.contains("hand_off 0 r-1 10.0.0.1:80 "), reply);
        assertTrue(reply.endsWith("ack 2\n"), reply);
    }

    @Test
    void rejectsMalformedInputNamingLineAndField() {
        for (String[] inputAndField : new String[][] {
            {"round x 2\ncommit\n", "round.clock"},
            {"round 1 2\n", "commit"},
            {"round 1 2\nring 0\ncommit\n", "ring"},
            {"round 1 2\nhello 0\ncommit\n", "hello"},
            {"round 1 2\nring 0 1.5\ncommit\n", "ring.handle"},
            {"round 1 2\nring 9 1\ncommit\n", "ring.front"}
        }) {
            MalformedSimulatorMessageException e =
                    assertThrows(MalformedSimulatorMessageException.class, () -> reply(FIRST_BATCH + inputAndField[0]));
            assertTrue(
                    e.getMessage().contains(inputAndField[1]) && e.getMessage().contains("line "), e.getMessage());
        }
    }

    @Test
    void reportsAFailingDeciderAsAFaultOfItsNodeOnly() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorAdapter((settings, seed) -> (now, events) -> {
                    throw new IllegalStateException("boom\nhere");
                })
                .run(new ByteArrayInputStream(FIRST_BATCH.getBytes(StandardCharsets.UTF_8)), out);
        assertEquals("fault 0 java.lang.IllegalStateException: boom here\nack 1\n", out.toString(UTF_8));
    }
}
