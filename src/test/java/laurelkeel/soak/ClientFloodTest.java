package laurelkeel.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A real node and one client that sends at full speed (issues 36 and 51). */
class ClientFloodTest {
    /** A client that sends invalid requests is owed an error or a close within this time. */
    private static final double MAX_SILENCE_SECONDS = 3;

    @TempDir
    Path folder;

    @Test
    void aClientThatSendsInvalidRequestsAtFullSpeedIsAnsweredThroughout() throws Exception {
        FloodResult result =
                new FloodBench(NodeImage.make(folder), folder).run(NodeKind.SERVE, FloodKind.UNKNOWN_ROUTES);
        assertTrue(result.longestSilenceSeconds() < MAX_SILENCE_SECONDS, result.row());
        assertTrue(result.alive() && result.peakMemoryMegabytes() < NodeController.MEMORY_MEGABYTES, result.row());
        assertEquals(result.sent(), result.served(), result.row());
    }
}
