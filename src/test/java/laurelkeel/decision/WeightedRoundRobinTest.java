package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class WeightedRoundRobinTest {
    private static final int[] ALL = {0, 1, 2};

    private static WeightedRoundRobin rotation(double... weights) {
        WeightedRoundRobin rotation = new WeightedRoundRobin(new double[weights.length]);
        for (int i = 0; i < weights.length; i++) {
            rotation.setWeight(i, weights[i]);
            rotation.setRequests(i, 0);
        }
        return rotation;
    }

    private static int[] turns(WeightedRoundRobin rotation, int[] candidates, int count) {
        int[] turns = new int[ALL.length];
        for (int i = 0; i < 400; i++) {
            turns[rotation.next(candidates, count)]++;
        }
        return turns;
    }

    @Test
    void turnsAreProportionalToTheWeights() {
        assertArrayEquals(new int[] {100, 200, 100}, turns(rotation(1, 2, 1), ALL, 3));
    }

    @Test
    void onlyCandidatesAreSelected() {
        assertArrayEquals(new int[] {0, 200, 200}, turns(rotation(1, 1, 1), new int[] {1, 2, 0}, 2));
        assertEquals(WeightedRoundRobin.NONE, rotation(1, 1, 1).next(ALL, 0));
    }

    @Test
    void busierEndpointsAreSkipped() {
        WeightedRoundRobin rotation = rotation(1, 2, 1);
        rotation.setRequests(0, 10);
        rotation.setRequests(1, 26);
        rotation.setRequests(2, 14);
        int[] turns = turns(rotation, ALL, 3);
        assertEquals(0, turns[2], "1.4 times the least load");
        assertEquals(400, turns[0] + turns[1], "1.3 times the least load per unit of weight");
    }

    @Test
    void initialCreditsDetermineTheFirstEndpoint() {
        WeightedRoundRobin rotation = new WeightedRoundRobin(new double[] {0, 0.5, -0.5});
        for (int i : ALL) {
            rotation.setWeight(i, 1);
            rotation.setRequests(i, 0);
        }
        assertEquals(1, rotation.next(ALL, 3));
        assertEquals(-1.5, rotation.credit(1));
    }
}
