package laurelkeel.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A short run of the scale bench; the full table is measured manually (docs/results/scale.md). */
class ScaleBenchTest {
    private static final int SECONDS = 6;

    @TempDir
    Path folder;

    /** CPU time is checked in the manual run only, because on a loaded host it carries little information about the node. */
    @Test
    void sixteenTimesTheEndpointsStayWithinTheLimits() throws Exception {
        List<ScaleFigures> figures = ScaleBench.run(
                ScaleProfile.THIN, List.of(1, 16), SECONDS, 1, NodeImage.make(folder), folder, System.out);
        List<String> exceeded = figures.get(1).exceededLimits(figures.get(0)).stream()
                .filter(limit -> !limit.startsWith("CPU"))
                .toList();
        assertEquals(List.of(), exceeded);
        assertTrue(figures.get(1).servedShare() > 0.95, figures.toString());
        assertEquals(3_200, figures.get(1).endpoints());
    }
}
