package laurelkeel.partition;

import static laurelkeel.partition.ConcurrentRolloutsTest.update;
import static laurelkeel.partition.EndpointTableTest.endpoint;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointListUpdate;
import laurelkeel.api.Event.RolloutPhase;
import org.junit.jupiter.api.Test;

class BaselineSelectorTest {
    private final ConcurrentRollouts rollouts = new ConcurrentRollouts(List.of(0.1, 1.0));
    private final EndpointTable endpoints = new EndpointTable();
    private final BaselineSelector selector = new BaselineSelector(rollouts, endpoints, 1);

    private void addEndpoints(int build, int count) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(endpoint(build + "." + i, build));
        }
        endpoints.apply(new EndpointListUpdate(EndpointListKind.DELTA, entries));
    }

    @Test
    void theReleasedBuildIsTheBaseline() {
        rollouts.apply(update(1, 0, 1, RolloutPhase.RELEASED), 0);
        rollouts.apply(update(2, 0, 0.1, RolloutPhase.CANARY), 0);
        addEndpoints(1, 1);
        addEndpoints(2, 9);
        assertEquals(1, selector.baselineFor(2));
        assertEquals(1, selector.baselineFor(3), "the canary may not receive all requests");
    }

    @Test
    void theLargestBuildWithoutRolloutIsTheBaselineIfNoReleaseIsKnown() {
        assertEquals(ConcurrentRollouts.NO_BUILD, selector.baselineFor(2));
        rollouts.apply(update(3, 0, 0.1, RolloutPhase.CANARY), 0);
        addEndpoints(1, 2);
        addEndpoints(2, 3);
        addEndpoints(3, 9);
        assertEquals(2, selector.baselineFor(3));
    }

    @Test
    void aCanaryThatMayReceiveAllRequestsReplacesABaselineOfHalfItsWeight() {
        rollouts.apply(update(1, 0, 1, RolloutPhase.RELEASED), 0);
        rollouts.apply(update(2, 1, 1, RolloutPhase.CANARY), 0);
        addEndpoints(1, 3);
        addEndpoints(2, 5);
        assertEquals(1, selector.baselineFor(3));
        addEndpoints(2, 6);
        assertEquals(2, selector.baselineFor(3));
        assertEquals(1, selector.baselineFor(2), "a canary is not the baseline of its own rollout");
        rollouts.apply(update(2, 0, 1, RolloutPhase.CANARY), 0);
        assertEquals(1, selector.baselineFor(3), "a canary in a guarded stage does not receive all kinds of requests");
    }

    @Test
    void theBaselineIsNotBelowTheMinimum() {
        rollouts.apply(update(1, 0, 1, RolloutPhase.RELEASED), 0);
        rollouts.raiseMinimumBaseline(2);
        assertEquals(2, selector.baselineFor(3));
    }
}
