package laurelkeel.front.controlplane;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ReconnectBackoffTest {
    @Test
    void nodesThatLoseASourceTogetherReconnectApartAndEverLessOften() {
        Set<Long> first = new HashSet<>();
        for (int front = 0; front < 100; front++) {
            ReconnectBackoff p = new ReconnectBackoff(front);
            long once = p.nextDelayMillis();
            first.add(once);
            assertTrue(once >= 250 && once <= 500, "first " + once);
            for (int i = 0; i < 10; i++) {
                once = p.nextDelayMillis();
            }
            assertTrue(once >= 4_000 && once <= 8_000, "later " + once);
            p.reset();
            assertTrue(p.nextDelayMillis() <= 500, "it was well meanwhile");
        }
        assertTrue(first.size() > 60, "100 fronts came back at " + first.size() + " moments");
    }
}
