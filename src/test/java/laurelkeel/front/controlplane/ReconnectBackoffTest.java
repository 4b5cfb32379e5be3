package laurelkeel.front.controlplane;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** All nodes lose a source at the same moment; they must not all reconnect at the same moment. */
class ReconnectBackoffTest {
    @Test
    void delaysGrowToTheMaximumAndDifferBetweenNodes() {
        Set<Long> firstDelays = new HashSet<>();
        for (int node = 0; node < 100; node++) {
            ReconnectBackoff backoff = new ReconnectBackoff(node);
            long delayMillis = backoff.nextDelayMillis();
            firstDelays.add(delayMillis);
            assertTrue(delayMillis >= 250 && delayMillis <= 500, "first " + delayMillis);
            for (int i = 0; i < 10; i++) {
                delayMillis = backoff.nextDelayMillis();
            }
            assertTrue(delayMillis >= 4_000 && delayMillis <= 8_000, "later " + delayMillis);
            backoff.reset();
            assertTrue(backoff.nextDelayMillis() <= 500, "the backoff was reset");
        }
        assertTrue(firstDelays.size() > 60, "100 nodes have only " + firstDelays.size() + " distinct first delays");
    }
}
