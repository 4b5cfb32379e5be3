package laurelkeel.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.partition.PartitionedDecider.Attribution;
import laurelkeel.records.RecordTerms;
import org.junit.jupiter.api.Test;

/** Names in settings, records and metrics stay as documented when identifiers in the code are renamed. */
class WireTermsTest {
    @Test
    void attemptOutcomesKeepTheirMetricLabels() {
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
    void attributionsKeepTheirMetricLabels() {
        assertEquals(
                List.of("none", "guilty", "cleared", "open", "set_aside"),
                Stream.of(
                                Attribution.NONE,
                                Attribution.GUILTY,
                                Attribution.CLEARED,
                                Attribution.OPEN,
                                Attribution.SET_ASIDE)
                        .map(WireTerms::metricLabel)
                        .toList());
    }

    @Test
    void recordsKeepTheNamesInStoredFiles() {
        assertEquals(
                List.of(
                        RecordTerms.EndpointState.ACTIVE,
                        RecordTerms.EndpointState.DRAINING,
                        RecordTerms.EndpointState.REMOVED),
                Arrays.stream(EndpointState.values()).map(WireTerms::recorded).toList());
        assertEquals(
                List.of(
                        RecordTerms.RolloutPhase.CANARY,
                        RecordTerms.RolloutPhase.ROLLING_BACK,
                        RecordTerms.RolloutPhase.RELEASED,
                        RecordTerms.RolloutPhase.ROLLED_BACK),
                Arrays.stream(RolloutPhase.values()).map(WireTerms::recorded).toList());
        assertEquals(RecordTerms.EndpointListKind.CACHED, WireTerms.recorded(EndpointListKind.CACHED));
        assertThrows(IllegalArgumentException.class, () -> WireTerms.recorded(EndpointListKind.FAILED));
    }

    @Test
    void settingsKeepTheirValuesInTheOrderInWhichErrorsListThem() {
        assertEquals(
                "[retriable, deduped, non-retriable]",
                WireTerms.IDEMPOTENCY.keySet().toString());
        assertEquals("[all, zone, cell]", WireTerms.DEDUPLICATION_SCOPE.keySet().toString());
        assertEquals("[any, count, clock]", WireTerms.PROMOTION_POLICY.keySet().toString());
        assertEquals("[push, ask]", WireTerms.ENDPOINT_LIST_MODE.keySet().toString());
        assertEquals("[req, work]", WireTerms.VALUE_BASIS.keySet().toString());
    }
}
