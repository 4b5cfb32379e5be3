package laurelkeel;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import laurelkeel.bench.Streams;
import laurelkeel.decision.Shifter;
import org.junit.jupiter.api.Test;

/**
 * Generated days, every action of which is the same as at the last change that meant to act otherwise: keys stay with a build whose answer was spoilt.
 * A change of the module that means to act otherwise prints new sums with "bench streams" and says so in its commit.
 */
class SameActionsTest {
    @Test
    void actionsAreThoseOfTheSlowerModule() {
        Map.of(100, "2782 actions 77a4b9d4", 101, "18644 actions fe4739a9", 102, "18011 actions b4f91bbd", 103,
                "2696 actions fef37863", 106, "2965 actions d94f1f40", 109, "2769 actions d631a71a", 112,
                "3000 actions 18746b22", 115, "2710 actions 29fc283f")
                .forEach((seed, sum) -> assertEquals(sum, Streams.sum(Shifter::new, seed), "stream " + seed));
    }
}
