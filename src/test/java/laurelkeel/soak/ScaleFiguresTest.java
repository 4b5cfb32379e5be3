package laurelkeel.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What the acceptance allows a node at more endpoints. */
class ScaleFiguresTest {
    private static final ScaleFigures USUAL =
            new ScaleFigures(ScaleProfile.THIN, 1, 200, 1.0, 100, 100, 100, 1_000, 1, 800, 1.0);

    private static ScaleFigures atFourThousand(double cpuSeconds, int descriptors, double servedShare) {
        return new ScaleFigures(
                ScaleProfile.THIN, 20, 4_000, cpuSeconds, 100, descriptors, 100, 1_000, 1, 800, servedShare);
    }

    @Test
    void whatStaysWithinIsNotNamed() {
        // 1.4 times 1 s, and 0.02 s, and 0.12 s for each thousand endpoints
        assertEquals(List.of(), atFourThousand(1.89, 240, 0.86).overLimits(USUAL));
    }

    @Test
    void whatGoesPastIsNamedWithItsLimit() {
        assertEquals(
                List.of("CPU seconds 2.00 of 1.90", "descriptors 241.00 of 240.00", "share served 0.800 of 0.850"),
                atFourThousand(2.0, 241, 0.8).overLimits(USUAL));
    }
}
