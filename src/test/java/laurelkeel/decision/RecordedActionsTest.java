package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import laurelkeel.bench.DecisionStreams;
import org.junit.jupiter.api.Test;

/**
 * Compares the checksums of all actions for generated event streams with recorded ones, to detect unintended changes of
 * decisions. Streams 103 and 115 have so many endpoints that a node uses a subset of them.
 *
 * <p>A change that intentionally alters decisions takes the new checksums from the command "bench streams" and says so
 * in its commit.
 */
class RecordedActionsTest {
    @Test
    void actionsAreAsRecorded() {
        Map.of(
                        100,
                        "2782 actions 2d371cdb",
                        101,
                        "18895 actions fdd1818",
                        102,
                        "18065 actions 608fb0d0",
                        103,
                        "2696 actions 12d3cd0f",
                        106,
                        "2965 actions d94f1f40",
                        109,
                        "2769 actions d631a71a",
                        112,
                        "3000 actions c1a0d0eb",
                        115,
                        "2710 actions aba928eb")
                .forEach((seed, sum) ->
                        assertEquals(sum, DecisionStreams.actionChecksum(RoutingDecider::new, seed), "stream " + seed));
    }
}
