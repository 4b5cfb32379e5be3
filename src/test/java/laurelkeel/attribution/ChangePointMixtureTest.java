package laurelkeel.attribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ChangePointMixtureTest {
    private final ChangePointMixture mixture = new ChangePointMixture(2);

    @Test
    void sumsSinceAChangePointContainOnlyLaterAmounts() {
        for (int second = 0; second < 12; second++) {
            mixture.beginSecond();
            mixture.add(1, 1);
        }
        assertEquals(3, mixture.changePointCount());
        assertEquals(12, mixture.sumSince(0, 1));
        assertEquals(7, mixture.sumSince(1, 1));
        assertEquals(2, mixture.sumSince(2, 1));
        assertEquals(0, mixture.sumSince(0, 0));
    }

    @Test
    void theFirstChangePointIsRetainedAndTheWeightsNeverExceedOne() {
        for (int second = 0; second < 1_000; second++) {
            mixture.beginSecond();
            mixture.add(0, 1);
        }
        assertEquals(1_000, mixture.sumSince(0, 0));
        assertEquals(-Math.log(2), mixture.logWeight(0), 1e-12);
        double weightSum = 0;
        for (int changePoint = 0; changePoint < mixture.changePointCount(); changePoint++) {
            weightSum += Math.exp(mixture.logWeight(changePoint));
        }
        assertTrue(weightSum <= 1, "sum of weights " + weightSum);
        assertEquals(24, mixture.changePointCount());
    }
}
