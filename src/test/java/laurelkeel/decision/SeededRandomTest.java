package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SeededRandomTest {
    @Test
    void equalSeedsGiveEqualSequences() {
        SeededRandom first = new SeededRandom(7);
        SeededRandom second = new SeededRandom(7);
        for (int i = 0; i < 100; i++) {
            assertEquals(first.nextDouble(), second.nextDouble());
        }
    }

    @Test
    void differentSeedsGiveDifferentSequences() {
        assertNotEquals(new SeededRandom(7).nextDouble(), new SeededRandom(8).nextDouble());
    }

    @Test
    void numbersAreUniformlyDistributedFromZeroToOne() {
        SeededRandom random = new SeededRandom(1);
        int[] counts = new int[10];
        for (int i = 0; i < 10_000; i++) {
            counts[(int) (random.nextDouble() * counts.length)]++;
        }
        for (int count : counts) {
            assertTrue(count > 800 && count < 1_200, "a tenth of the numbers: " + count);
        }
    }
}
