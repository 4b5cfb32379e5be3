package laurelkeel.front.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import laurelkeel.api.Action.Verdict;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.partition.PartitionedDecider.Attribution;
import org.junit.jupiter.api.Test;

/** Names in control plane messages are the documented ones, independent of the names in the code. */
class ControlPlaneTermsTest {
    @Test
    void verdictsAreWrittenWithTheNamesOfTheControlService() {
        assertEquals(
                List.of("none", "on", "hold", "back"),
                Arrays.stream(Verdict.values()).map(ControlPlaneTerms::name).toList());
    }

    @Test
    void endpointStatesAreParsedIgnoringCase() {
        assertEquals(EndpointState.ACTIVE, ControlPlaneTerms.endpointState("live"));
        assertEquals(EndpointState.DRAINING, ControlPlaneTerms.endpointState("Draining"));
        assertEquals(EndpointState.REMOVED, ControlPlaneTerms.endpointState("GONE"));
        assertNull(ControlPlaneTerms.endpointState("active"));
    }

    @Test
    void writtenEndpointStatesAreParsedBack() {
        for (EndpointState state : EndpointState.values()) {
            assertEquals(state, ControlPlaneTerms.endpointState(ControlPlaneTerms.name(state)));
        }
    }

    @Test
    void onlyTheExactNamesOfPhasesAreParsed() throws Exception {
        assertEquals(RolloutPhase.CANARY, ControlPlaneTerms.phase("trial"));
        assertEquals(RolloutPhase.ROLLING_BACK, ControlPlaneTerms.phase("going-back"));
        assertEquals(RolloutPhase.RELEASED, ControlPlaneTerms.phase("released"));
        assertEquals(RolloutPhase.ROLLED_BACK, ControlPlaneTerms.phase("withdrawn"));
        for (String unknown : List.of("canary", "Trial", "going_back")) {
            assertThrows(InvalidMessageException.class, () -> ControlPlaneTerms.phase(unknown));
        }
        assertThrows(InvalidMessageException.class, () -> ControlPlaneTerms.phase(null));
    }

    @Test
    void listKindsAreParsed() throws Exception {
        assertEquals(EndpointListKind.SNAPSHOT, ControlPlaneTerms.listKind("full"));
        assertEquals(EndpointListKind.DELTA, ControlPlaneTerms.listKind("changes"));
        assertThrows(InvalidMessageException.class, () -> ControlPlaneTerms.listKind("snapshot"));
        assertThrows(InvalidMessageException.class, () -> ControlPlaneTerms.listKind(null));
    }

    @Test
    void voteStatusesAreParsedAndUnknownOnesCountAsFailed() {
        assertEquals(ControlStatus.OK, ControlPlaneTerms.controlStatus("ok"));
        assertEquals(ControlStatus.STALE, ControlPlaneTerms.controlStatus("moot"));
        assertEquals(ControlStatus.RATE_LIMITED, ControlPlaneTerms.controlStatus("over-limit"));
        assertEquals(ControlStatus.TIMED_OUT, ControlPlaneTerms.controlStatus("timeout"));
        assertEquals(ControlStatus.FAILED, ControlPlaneTerms.controlStatus("error"));
        assertEquals(ControlStatus.FAILED, ControlPlaneTerms.controlStatus("anything else"));
        assertEquals(ControlStatus.FAILED, ControlPlaneTerms.controlStatus(null));
    }

    @Test
    void attributionsAreParsedIgnoringCase() {
        assertEquals(Attribution.NONE, ControlPlaneTerms.attribution("none"));
        assertEquals(Attribution.OPEN, ControlPlaneTerms.attribution("open"));
        assertEquals(Attribution.CLEARED, ControlPlaneTerms.attribution("Cleared"));
        assertEquals(Attribution.GUILTY, ControlPlaneTerms.attribution("GUILTY"));
        assertEquals(Attribution.SET_ASIDE, ControlPlaneTerms.attribution("set-aside"));
        assertEquals(Attribution.SET_ASIDE, ControlPlaneTerms.attribution("set_aside"));
        assertNull(ControlPlaneTerms.attribution("innocent"));
    }
}
