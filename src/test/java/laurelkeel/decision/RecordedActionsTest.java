package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import laurelkeel.bench.DecisionStreams;
import org.junit.jupiter.api.Test;

/**
 * Generated days, every action of which is the same as at the last change that meant to act otherwise: of more than 64
 * machines a front asks some in turn (streams 103 and 115 have as many).
 * A change of the module that means to act otherwise prints new sums with "bench streams" and says so in its commit.
 */
class RecordedActionsTest {
    @Test
    void actionsAreThoseOfTheSlowerModule() {
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
                        assertEquals(sum, DecisionStreams.sum(RoutingDecider::new, seed), "stream " + seed));
    }
}
