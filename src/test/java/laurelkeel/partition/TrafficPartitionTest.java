package laurelkeel.partition;

import static laurelkeel.partition.ConcurrentRolloutsTest.update;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Event.RolloutUpdate;
import org.junit.jupiter.api.Test;

class TrafficPartitionTest {
    private final List<Event> receivedEvents = new ArrayList<>();
    private final TrafficPartition partition = partition(2, (nowTicks, events) -> {
        receivedEvents.addAll(events);
        return List.of();
    });

    static TrafficPartition partition(int build, Decider decider) {
        return new TrafficPartition(0, build, decider, new ExposureWindow(1, 40_000, false));
    }

    @Test
    void aDeciderGetsEachEventOnce() {
        RolloutUpdate update = update(2, 0, 0.1, RolloutPhase.CANARY);
        partition.enqueueRolloutUpdate(update);
        assertTrue(partition.hasPendingEvents());
        partition.decide(1);
        assertFalse(partition.hasPendingEvents());
        partition.decide(2);
        assertEquals(List.of(update), receivedEvents);
    }

    @Test
    void anEventQueuedDuringACallIsPassedToTheNextOne() {
        List<Integer> eventCounts = new ArrayList<>();
        TrafficPartition[] self = new TrafficPartition[1];
        self[0] = partition(2, (nowTicks, events) -> {
            eventCounts.add(events.size());
            if (eventCounts.size() == 1) {
                self[0].enqueue(new Event.TimerFired(0));
            }
            return List.of();
        });
        self[0].decide(1);
        self[0].decide(1);
        assertEquals(List.of(0, 1), eventCounts);
    }

    @Test
    void aCapIsAnnouncedOnlyIfTheDeciderAppliesAnother() {
        RolloutRecord rollout = RolloutRecord.of(update(2, 0, 0.1, RolloutPhase.CANARY), null, 0);
        partition.announceCap(rollout, 0.1);
        assertFalse(partition.hasPendingEvents(), "the update contained this cap");
        partition.announceCap(rollout, 0.2);
        partition.announceCap(rollout, 0.2);
        partition.decide(1);
        assertEquals(List.of(update(2, 0, 0.2, RolloutPhase.CANARY)), receivedEvents);
        partition.enqueueRolloutUpdate(update(2, 0, 0.1, RolloutPhase.CANARY));
        partition.announceCap(rollout, 0.2);
        partition.decide(2);
        assertEquals(3, receivedEvents.size(), "an update resets the decider to the cap of all requests");
    }

    @Test
    void updatesOfEarlierBuildsAreNotCountedAsKnownToTheDecider() {
        partition.enqueueRolloutUpdate(update(1, 0, 0, RolloutPhase.ROLLED_BACK));
        assertFalse(partition.knowsRollbackOf(1));
        partition.enqueueRolloutUpdate(update(1, 0, 1, RolloutPhase.RELEASED));
        assertEquals(ConcurrentRollouts.NO_BUILD, partition.announcedRelease());
        partition.enqueueRolloutUpdate(update(3, 0, 1, RolloutPhase.RELEASED));
        assertEquals(3, partition.announcedRelease());
    }

    @Test
    void aClosingPartitionIsDrainedWhenItsLastRequestCompletes() {
        partition.onRequestAssigned(0, 1);
        partition.close();
        assertFalse(partition.isDrained());
        partition.onRequestCompleted();
        assertTrue(partition.isDrained());
    }
}
