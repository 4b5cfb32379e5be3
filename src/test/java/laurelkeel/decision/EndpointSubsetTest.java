package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Which of many machines a front asks in turn. */
class EndpointSubsetTest {
    private static final int MANY = 2_400;

    /** No machine is under suspicion. */
    private static final boolean[] NONE = new boolean[MANY + 1];

    private static double[] places(int from, int to) {
        return IntStream.range(from, to)
                .mapToDouble(i -> EndpointSubset.placeOf("s-" + i))
                .toArray();
    }

    private static boolean[] near(int machines, int zones) {
        boolean[] near = new boolean[machines];
        for (int i = 0; i < machines; i++) {
            near[i] = i % zones == 0;
        }
        return near;
    }

    @Test
    void allOfFewMachinesAreAsked() {
        int[] chosen = new EndpointSubset(3, 10)
                .choose(places(0, EndpointSubset.LEAST), near(EndpointSubset.LEAST, 1), NONE, NONE);
        assertArrayEquals(IntStream.range(0, EndpointSubset.LEAST).toArray(), chosen);
    }

    @Test
    void ofManyItTakesAsManyNearAsFarOnes() {
        boolean[] near = near(MANY, 3);
        int[] chosen = new EndpointSubset(3, 10).choose(places(0, MANY), near, NONE, NONE);
        assertEquals(2 * EndpointSubset.LEAST, chosen.length);
        assertEquals(
                EndpointSubset.LEAST, Arrays.stream(chosen).filter(i -> near[i]).count());
    }

    @Test
    void allFrontsTogetherAskAllMachinesAboutAlike() {
        int fronts = 100;
        int[] askedBy = new int[MANY];
        for (int self = 0; self < fronts; self++) {
            for (int i : new EndpointSubset(self, fronts).choose(places(0, MANY), near(MANY, 1), NONE, NONE)) {
                askedBy[i]++;
            }
        }
        int least = Arrays.stream(askedBy).min().orElseThrow();
        int most = Arrays.stream(askedBy).max().orElseThrow();
        assertTrue(least >= 1 && most <= 6, "from " + least + " to " + most + " fronts ask a machine");
    }

    @Test
    void oneMachineMoreChangesOneAtMost() {
        EndpointSubset rotation = new EndpointSubset(0, 1);
        double[] before = places(0, MANY);
        double[] after = places(0, MANY + 1);
        int[] was = rotation.choose(before, near(MANY, 1), NONE, NONE);
        int[] is = rotation.choose(after, near(MANY + 1, 1), NONE, NONE);
        long kept =
                Arrays.stream(is).filter(i -> Arrays.binarySearch(was, i) >= 0).count();
        assertTrue(kept >= EndpointSubset.LEAST - 1, "kept " + kept);
    }

    /** Connections to them are open. */
    @Test
    void machinesThatAreAskedStayWhileTheBuildGrows() {
        EndpointSubset rotation = new EndpointSubset(0, 1);
        boolean[] asked = new boolean[MANY];
        boolean[] ever = new boolean[MANY];
        for (int machines = 1; machines <= 160; machines++) {
            int[] chosen = rotation.choose(places(0, machines), near(machines, 1), NONE, asked);
            Arrays.fill(asked, false);
            for (int i : chosen) {
                asked[i] = true;
                ever[i] = true;
            }
        }
        long met = IntStream.range(0, MANY).filter(i -> ever[i]).count();
        assertTrue(met < 1.5 * EndpointSubset.LEAST, "asked " + met);
    }

    @Test
    void machinesUnderSuspicionGiveTheirPlacesToOthersWhileThereAreAny() {
        EndpointSubset rotation = new EndpointSubset(0, 1);
        boolean[] suspect = new boolean[MANY];
        for (int i : rotation.choose(places(0, MANY), near(MANY, 1), suspect, NONE)) {
            suspect[i] = true;
        }
        assertTrue(Arrays.stream(rotation.choose(places(0, MANY), near(MANY, 1), suspect, NONE))
                .noneMatch(i -> suspect[i]));
        Arrays.fill(suspect, true);
        assertEquals(EndpointSubset.LEAST, rotation.choose(places(0, MANY), near(MANY, 1), suspect, NONE).length);
    }

    @Test
    void itWidensToAllWhileAnswersWaitAndNarrowsAfterwards() {
        EndpointSubset rotation = new EndpointSubset(0, 1);
        for (int second = 0; second < 20; second++) {
            rotation.adapt(1, true, MANY);
        }
        assertEquals(MANY, rotation.choose(places(0, MANY), near(MANY, 1), NONE, NONE).length);
        for (int second = 0; second < 120; second++) {
            rotation.adapt(1, false, MANY);
        }
        int narrow = rotation.choose(places(0, MANY), near(MANY, 1), NONE, NONE).length;
        assertTrue(narrow < 1.25 * EndpointSubset.LEAST, "still " + narrow);
    }

    @Test
    void aFrontWithMoreRequestsOutAsksMoreMachines() {
        EndpointSubset rotation = new EndpointSubset(0, 1);
        assertFalse(rotation.adapt(EndpointSubset.LEAST / 8, false, MANY), "enough for these");
        assertFalse(rotation.adapt(EndpointSubset.LEAST / 4, false, MANY), "for a moment only");
        for (int second = 0; second < 30; second++) {
            rotation.adapt(50, false, MANY);
        }
        int machines = rotation.choose(places(0, MANY), near(MANY, 1), NONE, NONE).length;
        assertTrue(machines > 330 && machines <= 400, "asked " + machines);
    }
}
