package laurelkeel.front.controlplane;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ReconnectBackoffTest {
    @Test
    void nodesThatLoseASourceTogetherReconnectApartAndEverLessOften() {
        Set<Long> first = new HashSet<>();
        for (int node = 0; node < 100; node++) {
            ReconnectBackoff backoff = new ReconnectBackoff(node);
            long delayMillis = backoff.nextDelayMillis();
            first.add(delayMillis);
            assertTrue(delayMillis >= 250 && delayMillis <= 500, "first " + delayMillis);
            for (int i = 0; i < 10; i++) {
                delayMillis = backoff.nextDelayMillis();
            }
            assertTrue(delayMillis >= 4_000 && delayMillis <= 8_000, "later " + delayMillis);
            backoff.reset();
            assertTrue(backoff.nextDelayMillis() <= 500, "it worked meanwhile");
        }
        assertTrue(first.size() > 60, "100 nodes came back at " + first.size() + " moments");
    }
}
