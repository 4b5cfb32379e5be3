package laurelkeel.simulatoradapter;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.StringWriter;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import laurelkeel.api.Action;
import laurelkeel.api.Action.Verdict;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RolloutPhase;
import org.junit.jupiter.api.Test;

/** The names used on the wire are those of the simulator's protocol, independent of the names in the code. */
class SimulatorTermsTest {
    @Test
    void mapsEveryProtocolNameToATermAndEveryTermToAName() {
        assertEquals(
                Set.of(
                        "OK",
                        "INTERNAL",
                        "RESOURCE_EXHAUSTED",
                        "DEADLINE_EXCEEDED",
                        "UNAVAILABLE",
                        "ABORTED",
                        "CANCELLED",
                        "TOO_LATE"),
                SimulatorTerms.ATTEMPT_OUTCOMES.keySet());
        assertEquals(EnumSet.allOf(AttemptOutcome.class), EnumSet.copyOf(SimulatorTerms.ATTEMPT_OUTCOMES.values()));
        assertEquals(
                Set.of("OK", "TOO_LATE", "RESOURCE_EXHAUSTED", "INTERNAL", "DEADLINE_EXCEEDED"),
                SimulatorTerms.CONTROL_STATUSES.keySet());
        assertEquals(EnumSet.allOf(ControlStatus.class), EnumSet.copyOf(SimulatorTerms.CONTROL_STATUSES.values()));
        assertEquals(Set.of("D", "F", "C", "X"), SimulatorTerms.LIST_KINDS.keySet());
        assertEquals(EnumSet.allOf(EndpointListKind.class), EnumSet.copyOf(SimulatorTerms.LIST_KINDS.values()));
        assertEquals(Set.of("live", "quiescing", "dead"), SimulatorTerms.ENDPOINT_STATES.keySet());
        assertEquals(EnumSet.allOf(EndpointState.class), EnumSet.copyOf(SimulatorTerms.ENDPOINT_STATES.values()));
        assertEquals(
                List.of(
                        RolloutPhase.CANARY,
                        RolloutPhase.ROLLING_BACK,
                        RolloutPhase.RELEASED,
                        RolloutPhase.ROLLED_BACK),
                SimulatorTerms.PHASES);
        assertEquals(
                List.of(0, 1, 2, 3),
                Arrays.stream(Verdict.values())
                        .map(SimulatorTerms::verdictNumber)
                        .toList());
    }

    @Test
    void writesEveryActionUnderItsProtocolName() throws IOException {
        assertEquals("hand_off 3 r 10.0.0.1:80 80.5", writtenLine(new Action.SendAttempt("r", "10.0.0.1:80", 805)));
        assertEquals("stop_attempt 3 r 1", writtenLine(new Action.CancelAttempt("r", 1)));
        assertEquals("deny 3 r 500.0", writtenLine(new Action.RejectRequest("r", 5000)));
        assertEquals("lose 3 r", writtenLine(new Action.FailRequest("r")));
        assertEquals("after 3 8912.2 77", writtenLine(new Action.StartTimer(89_122, 77)));
        assertEquals("after 3 -0.5 77", writtenLine(new Action.StartTimer(-5, 77)));
        assertEquals("ask_load 3 m", writtenLine(new Action.SendHealthCheck("m")));
        assertEquals("disconnect 3 m", writtenLine(new Action.CloseIdleConnections("m")));
        assertEquals("notify 3 all 6869", writtenLine(new Action.SendGossip(-1, new byte[] {0x68, 0x69})));
        assertEquals("notify 3 2 -", writtenLine(new Action.SendGossip(2, new byte[0])));
        assertEquals("watch 3 1", writtenLine(new Action.WatchEndpoints(true)));
        assertEquals("query_all 3", writtenLine(new Action.FetchEndpoints()));
        assertEquals("say_so 3 42 2 1", writtenLine(new Action.CastVote(42, 2, Verdict.PROMOTE)));
        assertEquals("print 3 two servers known", writtenLine(new Action.WriteLog("two servers known")));
    }

    private static String writtenLine(Action action) throws IOException {
        StringWriter out = new StringWriter();
        new SimulatorActionWriter(out).write(3, action);
        return out.toString().strip();
    }
}
