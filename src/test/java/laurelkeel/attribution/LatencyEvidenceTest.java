package laurelkeel.attribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class LatencyEvidenceTest {
    private final Random random = new Random(4);
    private final LatencyEvidence evidence = new LatencyEvidence();

    private void run(int seconds, double logRatio) {
        for (int i = 0; i < seconds; i++) {
            evidence.addSecond(logRatio + 0.1 * random.nextGaussian());
        }
    }

    @Test
    void withoutSecondsThereIsNoEvidence() {
        assertEquals(0, evidence.logEValue());
        evidence.addSecond(Double.NaN);
        assertTrue(evidence.logEValue() <= 0);
    }

    @Test
    void aSlightlySlowerBuildIsTolerated() {
        run(300, Math.log(1.2));
        assertTrue(evidence.logEValue() < 0, "log e-value " + evidence.logEValue());
    }

    @Test
    void aBuildThatBecomesSlowLaterIsDetected() {
        run(100, 0);
        run(30, Math.log(2));
        assertTrue(evidence.logEValue() > Math.log(500), "log e-value " + evidence.logEValue());
    }

    @Test
    void oneExtremeSecondIsNotEnough() {
        run(30, 0);
        evidence.addSecond(50);
        assertTrue(evidence.logEValue() < Math.log(20), "log e-value " + evidence.logEValue());
    }
}
