package laurelkeel.partition;

import static laurelkeel.partition.ConcurrentRolloutsTest.update;
import static laurelkeel.partition.EndpointTableTest.endpoint;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointListUpdate;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RolloutPhase;
import org.junit.jupiter.api.Test;

class BuildVisibilityTest {
    private final ConcurrentRollouts rollouts = new ConcurrentRollouts(List.of(0.1));
    private final BuildVisibility visibility = new BuildVisibility(rollouts);
    private final TrafficPartition partition = TrafficPartitionTest.partition(2, (nowTicks, events) -> List.of());

    @Test
    void onlyItsBuildAndItsBaselineAreVisibleToAPartition() {
        partition.setBaselineBuild(1);
        assertTrue(visibility.isVisible(partition, endpoint("a", 1)));
        assertTrue(visibility.isVisible(partition, endpoint("b", 2)));
        assertFalse(visibility.isVisible(partition, endpoint("c", 3)));
    }

    @Test
    void allBuildsExceptUnknownRollbacksAreVisibleToAPartitionThatChoosesItsBaseline() {
        rollouts.apply(update(3, 0, 0, RolloutPhase.ROLLED_BACK), 0);
        assertTrue(visibility.isVisible(partition, endpoint("a", 1)));
        assertFalse(visibility.isVisible(partition, endpoint("c", 3)));
        assertFalse(visibility.isEveryBuildVisible(partition));
        partition.enqueueRolloutUpdate(update(3, 0, 0, RolloutPhase.ROLLED_BACK));
        assertTrue(visibility.isVisible(partition, endpoint("c", 3)));
        assertTrue(visibility.isEveryBuildVisible(partition));
    }

    @Test
    void anEndpointThatRestartsWithAnotherBuildIsRemovedFromThePartition() {
        partition.setBaselineBuild(1);
        EndpointEntry first = endpoint("a", 1);
        EndpointEntry restarted = endpoint("a", 3);
        assertEquals(List.of(first), filterUpdate(first).entries());
        assertEquals(
                List.of(endpoint("a", 3, 1, EndpointState.REMOVED)),
                filterUpdate(restarted).entries());
        assertEquals(List.of(), filterUpdate(restarted).entries(), "it is removed only once");
    }

    private EndpointListUpdate filterUpdate(EndpointEntry entry) {
        return visibility.filterUpdate(new EndpointListUpdate(EndpointListKind.DELTA, List.of(entry)), partition);
    }
}
