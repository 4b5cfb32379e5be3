package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests which of many endpoints a front node uses. */
class EndpointSubsetTest {
    private static final int MANY = 2_400;

    /** Flags that are set for no endpoint. */
    private static final boolean[] NO_FLAGS = new boolean[MANY + 1];

    private static double[] positions(int from, int to) {
        return IntStream.range(from, to)
                .mapToDouble(i -> EndpointSubset.ringPosition("s-" + i))
                .toArray();
    }

    private static boolean[] isLocal(int endpoints, int zones) {
        boolean[] isLocal = new boolean[endpoints];
        for (int i = 0; i < endpoints; i++) {
            isLocal[i] = i % zones == 0;
        }
        return isLocal;
    }

    @Test
    void allEndpointsAreUsedIfThereAreFew() {
        int[] chosen = new EndpointSubset(3, 10)
                .select(positions(0, EndpointSubset.MIN_SIZE), isLocal(EndpointSubset.MIN_SIZE, 1), NO_FLAGS, NO_FLAGS);
        assertArrayEquals(IntStream.range(0, EndpointSubset.MIN_SIZE).toArray(), chosen);
    }

    @Test
    void equalNumbersOfLocalAndRemoteEndpointsAreUsedIfThereAreMany() {
        boolean[] isLocal = isLocal(MANY, 3);
        int[] chosen = new EndpointSubset(3, 10).select(positions(0, MANY), isLocal, NO_FLAGS, NO_FLAGS);
        assertEquals(2 * EndpointSubset.MIN_SIZE, chosen.length);
        assertEquals(
                EndpointSubset.MIN_SIZE,
                Arrays.stream(chosen).filter(i -> isLocal[i]).count());
    }

    @Test
    void allNodesTogetherUseAllEndpointsAboutEqually() {
        int nodes = 100;
        int[] usedBy = new int[MANY];
        for (int node = 0; node < nodes; node++) {
            for (int i :
                    new EndpointSubset(node, nodes).select(positions(0, MANY), isLocal(MANY, 1), NO_FLAGS, NO_FLAGS)) {
                usedBy[i]++;
            }
        }
        int least = Arrays.stream(usedBy).min().orElseThrow();
        int most = Arrays.stream(usedBy).max().orElseThrow();
        assertTrue(least >= 1 && most <= 6, "from " + least + " to " + most + " nodes use an endpoint");
    }

    @Test
    void anAddedEndpointReplacesAtMostOne() {
        EndpointSubset subset = new EndpointSubset(0, 1);
        double[] before = positions(0, MANY);
        double[] after = positions(0, MANY + 1);
        int[] selectedBefore = subset.select(before, isLocal(MANY, 1), NO_FLAGS, NO_FLAGS);
        int[] selectedAfter = subset.select(after, isLocal(MANY + 1, 1), NO_FLAGS, NO_FLAGS);
        long kept = Arrays.stream(selectedAfter)
                .filter(i -> Arrays.binarySearch(selectedBefore, i) >= 0)
                .count();
        assertTrue(kept >= EndpointSubset.MIN_SIZE - 1, "kept " + kept);
    }

    /** Connections to the members are open, so endpoints added to the build should rarely replace them. */
    @Test
    void membersAreRetainedWhileTheBuildGrows() {
        EndpointSubset subset = new EndpointSubset(0, 1);
        boolean[] isMember = new boolean[MANY];
        boolean[] wasMember = new boolean[MANY];
        for (int count = 1; count <= 160; count++) {
            int[] chosen = subset.select(positions(0, count), isLocal(count, 1), NO_FLAGS, isMember);
            Arrays.fill(isMember, false);
            for (int i : chosen) {
                isMember[i] = true;
                wasMember[i] = true;
            }
        }
        long used = IntStream.range(0, MANY).filter(i -> wasMember[i]).count();
        assertTrue(used < 1.5 * EndpointSubset.MIN_SIZE, "used " + used);
    }

    @Test
    void suspectEndpointsAreReplacedWhileThereAreOthers() {
        EndpointSubset subset = new EndpointSubset(0, 1);
        boolean[] isSuspect = new boolean[MANY];
        for (int i : subset.select(positions(0, MANY), isLocal(MANY, 1), isSuspect, NO_FLAGS)) {
            isSuspect[i] = true;
        }
        assertTrue(Arrays.stream(subset.select(positions(0, MANY), isLocal(MANY, 1), isSuspect, NO_FLAGS))
                .noneMatch(i -> isSuspect[i]));
        Arrays.fill(isSuspect, true);
        assertEquals(
                EndpointSubset.MIN_SIZE,
                subset.select(positions(0, MANY), isLocal(MANY, 1), isSuspect, NO_FLAGS).length);
    }

    @Test
    void theSubsetGrowsToAllWhileAttemptsQueueAndShrinksAfterwards() {
        EndpointSubset subset = new EndpointSubset(0, 1);
        for (int second = 0; second < 20; second++) {
            subset.adapt(1, true, MANY);
        }
        assertEquals(MANY, subset.select(positions(0, MANY), isLocal(MANY, 1), NO_FLAGS, NO_FLAGS).length);
        for (int second = 0; second < 120; second++) {
            subset.adapt(1, false, MANY);
        }
        int size = subset.select(positions(0, MANY), isLocal(MANY, 1), NO_FLAGS, NO_FLAGS).length;
        assertTrue(size < 1.25 * EndpointSubset.MIN_SIZE, "still " + size);
    }

    @Test
    void aNodeWithMoreRequestsInFlightUsesMoreEndpoints() {
        EndpointSubset subset = new EndpointSubset(0, 1);
        assertFalse(subset.adapt(EndpointSubset.MIN_SIZE / 8, false, MANY), "the minimum size is enough");
        assertFalse(subset.adapt(EndpointSubset.MIN_SIZE / 4, false, MANY), "a short peak does not change the size");
        for (int second = 0; second < 30; second++) {
            subset.adapt(50, false, MANY);
        }
        int size = subset.select(positions(0, MANY), isLocal(MANY, 1), NO_FLAGS, NO_FLAGS).length;
        assertTrue(size > 330 && size <= 400, "used " + size);
    }
}
