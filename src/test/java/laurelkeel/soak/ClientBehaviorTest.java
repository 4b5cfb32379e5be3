package laurelkeel.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.EnumMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ClientBehaviorTest {
    /** Returns the numbers below the bound in ascending order, each once. */
    private static final class SequentialNumbers extends Random {
        private static final long serialVersionUID = 1L;
        private int next;

        @Override
        public int nextInt(int bound) {
            return next++ % bound;
        }
    }

    @Test
    void behaviorsHaveTheirDocumentedPercentages() {
        Random random = new SequentialNumbers();
        Map<ClientBehavior, Integer> picked = new EnumMap<>(ClientBehavior.class);
        for (int i = 0; i < 100; i++) {
            picked.merge(ClientBehavior.pick(random), 1, Integer::sum);
        }
        assertEquals(
                Map.of(
                        ClientBehavior.DISCONNECTS,
                        3,
                        ClientBehavior.LEAVES_BACKLOG,
                        2,
                        ClientBehavior.HALF_CLOSES,
                        2,
                        ClientBehavior.SETS_SHORT_TIMEOUT,
                        2,
                        ClientBehavior.SENDS_PARTIAL_REQUEST,
                        1,
                        ClientBehavior.AWAITS_RESPONSE,
                        90),
                picked);
    }
}
