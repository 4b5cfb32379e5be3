package laurelkeel.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import laurelkeel.api.Action.Verdict;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.records.TrafficRecord;
import org.junit.jupiter.api.Test;

/** The names outside (wire, settings, records, metrics) are those of the pages, whatever the code calls things. */
class WireTermsTest {
    @Test
    void metricLabelsAreThoseOfThePages() {
        assertEquals(
                List.of("completed", "error", "full", "timeout", "no_connection", "broken", "stopped", "not_sent"),
                Arrays.stream(AttemptOutcome.values())
                        .map(WireTerms::metricLabel)
                        .toList());
    }

    @Test
    void requestOutcomesKeepTheirMetricLabels() {
        assertEquals(
                List.of("completed", "shed", "errored", "left"),
                Arrays.stream(RequestOutcome.values())
                        .map(WireTerms::metricLabel)
                        .toList());
    }

    @Test
    void verdictsAreWrittenAsTheReleaseLineKnowsThem() {
        assertEquals(
                List.of("none", "on", "hold", "back"),
                Arrays.stream(Verdict.values()).map(WireTerms::verdict).toList());
    }

    @Test
    void statesAndPhasesAreReadInAnyCase() {
        assertEquals(EndpointState.ACTIVE, WireTerms.endpointState("live"));
        assertEquals(EndpointState.DRAINING, WireTerms.endpointState("Draining"));
        assertEquals(EndpointState.REMOVED, WireTerms.endpointState("GONE"));
        assertEquals(RolloutPhase.CANARY, WireTerms.phase("trial"));
        assertEquals(RolloutPhase.ROLLING_BACK, WireTerms.phase("going_back"));
        assertEquals(RolloutPhase.ROLLING_BACK, WireTerms.phase("going-back"));
        assertEquals(RolloutPhase.RELEASED, WireTerms.phase("released"));
        assertEquals(RolloutPhase.ROLLED_BACK, WireTerms.phase("withdrawn"));
        assertThrows(IllegalArgumentException.class, () -> WireTerms.endpointState("active"));
        assertThrows(IllegalArgumentException.class, () -> WireTerms.phase("canary"));
    }

    @Test
    void answersToVotesAreReadAndUnknownOnesFail() {
        assertEquals(ControlStatus.OK, WireTerms.controlStatus("ok"));
        assertEquals(ControlStatus.STALE, WireTerms.controlStatus("moot"));
        assertEquals(ControlStatus.RATE_LIMITED, WireTerms.controlStatus("over-limit"));
        assertEquals(ControlStatus.TIMED_OUT, WireTerms.controlStatus("timeout"));
        assertEquals(ControlStatus.FAILED, WireTerms.controlStatus("error"));
        assertEquals(ControlStatus.FAILED, WireTerms.controlStatus("anything else"));
    }

    @Test
    void recordsKeepTheNamesThatStoredFilesHave() {
        assertEquals(
                List.of(TrafficRecord.State.LIVE, TrafficRecord.State.DRAINING, TrafficRecord.State.GONE),
                Arrays.stream(EndpointState.values()).map(WireTerms::recorded).toList());
        assertEquals(
                List.of(
                        TrafficRecord.Phase.TRIAL,
                        TrafficRecord.Phase.GOING_BACK,
                        TrafficRecord.Phase.RELEASED,
                        TrafficRecord.Phase.WITHDRAWN),
                Arrays.stream(RolloutPhase.values()).map(WireTerms::recorded).toList());
        assertEquals(TrafficRecord.ListKind.REMEMBERED, WireTerms.recorded(EndpointListKind.CACHED));
        assertThrows(IllegalArgumentException.class, () -> WireTerms.recorded(EndpointListKind.FAILED));
    }

    @Test
    void settingsKeepTheirValuesInTheOrderInWhichErrorsListThem() {
        assertEquals(
                "[retriable, deduped, non-retriable]",
                WireTerms.IDEMPOTENCY.keySet().toString());
        assertEquals("[all, zone, cell]", WireTerms.DEDUPLICATION_SCOPE.keySet().toString());
        assertEquals("[any, count, clock]", WireTerms.PROMOTION_POLICY.keySet().toString());
    }
}
