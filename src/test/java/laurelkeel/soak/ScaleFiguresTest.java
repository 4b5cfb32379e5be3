package laurelkeel.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The acceptance limits of a node's resources at more endpoints. */
class ScaleFiguresTest {
    private static final ScaleFigures REFERENCE =
            new ScaleFigures(ScaleProfile.THIN, 1, 200, 1.0, 100, 100, 100, 1_000, 1, 800, 1.0);

    private static ScaleFigures figuresAtFourThousandEndpoints(double cpuSeconds, int descriptors, double servedShare) {
        return new ScaleFigures(
                ScaleProfile.THIN, 20, 4_000, cpuSeconds, 100, descriptors, 100, 1_000, 1, 800, servedShare);
    }

    @Test
    void figuresWithinTheirLimitsAreNotListed() {
        // the CPU limit is 1.4 times 1 s, plus 0.02 s, plus 0.12 s for each thousand endpoints
        assertEquals(List.of(), figuresAtFourThousandEndpoints(1.89, 240, 0.86).exceededLimits(REFERENCE));
    }

    @Test
    void figuresAboveTheirLimitsAreListedWithTheLimit() {
        assertEquals(
                List.of("CPU seconds 2.00 of 1.90", "descriptors 241.00 of 240.00", "share served 0.800 of 0.850"),
                figuresAtFourThousandEndpoints(2.0, 241, 0.8).exceededLimits(REFERENCE));
    }
}
