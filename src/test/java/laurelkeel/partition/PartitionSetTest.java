package laurelkeel.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PartitionSetTest {
    private final List<Long> seeds = new ArrayList<>();
    private final PartitionSet partitions =
            new PartitionSet(RolloutSimulation.settings(false, 0), 7, (settings, seed) -> {
                seeds.add(seed);
                return (nowTicks, events) -> List.of();
            });

    @Test
    void eachDeciderHasItsOwnSeed() {
        partitions.open(2);
        partitions.open(3);
        assertEquals(List.of(7L, 7L * 31 + 1, 7L * 31 + 2), seeds);
    }

    @Test
    void closingPartitionsAreSkippedButRetainedUntilTheyAreDrained() {
        TrafficPartition second = partitions.open(2);
        TrafficPartition third = partitions.open(3);
        second.onRequestAssigned(0, 1);
        second.close();
        partitions.removeDrained();
        assertEquals(2, partitions.openCount());
        assertSame(third, partitions.openAt(1));
        assertNull(partitions.findOpen(second.id()));
        assertSame(second, partitions.findByRollout(2));
        second.onRequestCompleted();
        partitions.removeDrained();
        assertNull(partitions.findByRollout(2));
    }

    @Test
    void theLastPartitionIsNeverRemoved() {
        partitions.first().close();
        partitions.removeDrained();
        assertTrue(partitions.isSingle());
    }
}
