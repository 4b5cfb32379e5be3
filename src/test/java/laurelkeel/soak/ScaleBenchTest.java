package laurelkeel.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A short run of the table that is measured by hand (docs/results/scale.md). */
class ScaleBenchTest {
    private static final int SECONDS = 6;

    @TempDir
    Path folder;

    /** Processor time is left to the run by hand: on a loaded host it says little of the node. */
    @Test
    void sixteenTimesTheMachinesCostANodeLittle() throws Exception {
        List<ScaleFigures> figures = ScaleBench.run(
                ScaleProfile.THIN, List.of(1, 16), SECONDS, 1, NodeImage.make(folder), folder, System.out);
        List<String> over = figures.get(1).overLimits(figures.get(0)).stream()
                .filter(what -> !what.startsWith("CPU"))
                .toList();
        assertEquals(List.of(), over);
        assertTrue(figures.get(1).servedShare() > 0.95, figures.toString());
        assertEquals(3_200, figures.get(1).endpoints());
    }
}
