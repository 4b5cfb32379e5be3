package laurelkeel.partition;

import static laurelkeel.partition.ConcurrentRolloutsTest.update;
import static laurelkeel.partition.EndpointTableTest.endpoint;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import laurelkeel.api.Event;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointListUpdate;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Event.RolloutUpdate;
import org.junit.jupiter.api.Test;

class PartitionManagerTest {
    private static final int MAX_OPEN_PARTITIONS = 2;

    /** The events that the decider of each partition received, in the order in which the partitions were opened. */
    private final List<List<Event>> eventsByPartition = new ArrayList<>();

    private final ConcurrentRollouts rollouts = new ConcurrentRollouts(List.of(0.1));
    private final EndpointTable endpoints = new EndpointTable();
    private final PartitionSet partitions =
            new PartitionSet(RolloutSimulation.settings(false, 0), 1, (settings, seed) -> {
                List<Event> events = new ArrayList<>();
                eventsByPartition.add(events);
                return (nowTicks, newEvents) -> {
                    events.addAll(newEvents);
                    return List.of();
                };
            });
    private final PartitionManager manager =
            new PartitionManager(partitions, rollouts, endpoints, 0, MAX_OPEN_PARTITIONS);

    private void apply(RolloutUpdate update) {
        manager.onRolloutUpdate(update, rollouts.apply(update, 0));
        runPartitions();
    }

    private void apply(EndpointListKind kind, EndpointEntry... entries) {
        EndpointListUpdate update = new EndpointListUpdate(kind, List.of(entries));
        endpoints.apply(update);
        manager.onEndpointListUpdate(update);
        runPartitions();
    }

    private void runPartitions() {
        manager.refreshBaselines();
        partitions.forEach(partition -> partition.decide(0));
    }

    private void startCanary(int build, double cap) {
        apply(update(build, 0, cap, RolloutPhase.CANARY));
    }

    @Test
    void theFirstRolloutUsesTheExistingPartition() {
        apply(update(1, 0, 1, RolloutPhase.RELEASED));
        startCanary(2, 0.1);
        assertTrue(partitions.isSingle());
        assertEquals(
                List.of(update(1, 0, 1, RolloutPhase.RELEASED), update(2, 0, 0.1, RolloutPhase.CANARY)),
                eventsByPartition.get(0));
    }

    @Test
    void aFurtherRolloutOpensAPartitionThatReceivesBaselineEndpointsAndUpdate() {
        apply(update(1, 0, 1, RolloutPhase.RELEASED));
        apply(EndpointListKind.SNAPSHOT, endpoint("a", 1), endpoint("b", 2), endpoint("c", 3));
        startCanary(2, 0.1);
        startCanary(3, 0.1);
        assertEquals(2, partitions.openCount());
        assertEquals(
                List.of(
                        update(1, 0, 1, RolloutPhase.RELEASED),
                        new EndpointListUpdate(EndpointListKind.CACHED, List.of(endpoint("a", 1), endpoint("c", 3))),
                        update(3, 0, 0.1, RolloutPhase.CANARY)),
                eventsByPartition.get(1));
        assertEquals(
                new EndpointListUpdate(EndpointListKind.CACHED, List.of(endpoint("a", 1), endpoint("b", 2))),
                eventsByPartition.get(0).get(eventsByPartition.get(0).size() - 1),
                "the other build is no longer visible to the first partition");
    }

    @Test
    void rolloutsBeyondTheLimitGetNoPartition() {
        startCanary(2, 0.1);
        startCanary(3, 0.1);
        startCanary(4, 0.1);
        assertEquals(2, partitions.openCount());
        assertEquals(2, eventsByPartition.size());
    }

    @Test
    void aPartitionClosesWithItsRolloutAndTheLastOneStaysOpen() {
        startCanary(2, 0.1);
        startCanary(3, 0.1);
        apply(update(2, 0, 0, RolloutPhase.ROLLING_BACK));
        assertTrue(partitions.first().isClosing());
        partitions.removeDrained();
        apply(update(3, 0, 0, RolloutPhase.ROLLING_BACK));
        assertTrue(partitions.isSingle());
        assertFalse(partitions.first().isClosing());
    }

    @Test
    void aReleaseIsForwardedToThePartitionsOfEarlierBuildsToo() {
        startCanary(2, 0.1);
        startCanary(3, 0.1);
        RolloutUpdate release = update(3, 0, 1, RolloutPhase.RELEASED);
        apply(release);
        assertTrue(eventsByPartition.get(0).contains(release));
        assertTrue(eventsByPartition.get(1).contains(release));
    }

    @Test
    void noPartitionHasABaselineBelowTheCanaryThatWasTheBaselineOfAClosedOne() {
        apply(update(1, 0, 1, RolloutPhase.RELEASED));
        apply(EndpointListKind.SNAPSHOT, endpoint("a", 1), endpoint("b", 2), endpoint("c", 2), endpoint("d", 3));
        startCanary(2, 1);
        startCanary(3, 0.1);
        apply(update(3, 0, 0, RolloutPhase.ROLLING_BACK));
        assertEquals(2, rollouts.minimumBaseline());
        assertEquals(2, partitions.first().baselineBuild());
        apply(update(2, 0, 1, RolloutPhase.RELEASED));
        assertEquals(ConcurrentRollouts.NO_BUILD, rollouts.minimumBaseline());
    }
}
