package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class StickyKeySliceTest {
    private static final int KEYS = 10_000;

    @Test
    void mapsAKeyToOneFractionPerBuild() {
        assertEquals(StickyKeySlice.fractionOf("customer-1", 4), StickyKeySlice.fractionOf("customer-1", 4));
    }

    @Test
    void distributesNonAsciiKeysEvenly() {
        int inSlice = 0;
        for (int i = 0; i < KEYS; i++) {
            String key = "" + (char) ('à' + i % 100) + (char) ('à' + i / 100);
            inSlice += StickyKeySlice.fractionOf(key, 2) < 0.1 ? 1 : 0;
        }
        assertEquals(0.1, inSlice / (double) KEYS, 0.01);
    }

    @Test
    void slicesOfTwoBuildsAreIndependent() {
        int inFirst = 0;
        int inBoth = 0;
        for (int i = 0; i < KEYS; i++) {
            boolean isInFirst = StickyKeySlice.fractionOf("key" + i, 2) < 0.5;
            inFirst += isInFirst ? 1 : 0;
            inBoth += isInFirst && StickyKeySlice.fractionOf("key" + i, 3) < 0.5 ? 1 : 0;
        }
        assertTrue(inFirst > 0);
        assertEquals(0.5, inBoth / (double) inFirst, 0.03);
    }
}
