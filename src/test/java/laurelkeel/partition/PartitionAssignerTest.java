package laurelkeel.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class PartitionAssignerTest {
    private static final int REQUESTS = 30_000;

    @Test
    void keysAreDividedEvenlyAndIdenticallyOnAllNodes() {
        PartitionAssigner oneNode = new PartitionAssigner(1);
        PartitionAssigner otherNode = new PartitionAssigner(2);
        int[] counts = new int[3];
        for (int i = 0; i < REQUESTS; i++) {
            int partition = oneNode.assign("key" + i, 3);
            assertEquals(partition, otherNode.assign("key" + i, 3));
            counts[partition]++;
        }
        assertEven(counts);
    }

    @Test
    void requestsWithoutKeyAreDividedEvenlyAndReproduciblyForASeed() {
        PartitionAssigner assigner = new PartitionAssigner(7);
        PartitionAssigner sameSeed = new PartitionAssigner(7);
        int[] counts = new int[3];
        for (int i = 0; i < REQUESTS; i++) {
            int partition = assigner.assign(null, 3);
            assertEquals(partition, sameSeed.assign(null, 3));
            counts[partition]++;
        }
        assertEven(counts);
    }

    @Test
    void theAssignmentOfKeysIsFixed() {
        // nodes of different versions must assign the keys identically
        PartitionAssigner assigner = new PartitionAssigner(1);
        StringBuilder assigned = new StringBuilder();
        for (int i = 0; i < 24; i++) {
            assigned.append(assigner.assign("k" + i, 3));
        }
        assertEquals("222211011112022001210120", assigned.toString());
    }

    private static void assertEven(int[] counts) {
        for (int count : counts) {
            assertTrue(Math.abs(count - REQUESTS / counts.length) < 500, "count " + count);
        }
    }
}
