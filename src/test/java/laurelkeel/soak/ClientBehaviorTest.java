package laurelkeel.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.EnumMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ClientBehaviorTest {
    /** Draws each number below a hundred once. */
    private static final class EachNumberOnce extends Random {
        private static final long serialVersionUID = 1L;
        private int next;

        @Override
        public int nextInt(int bound) {
            return next++ % bound;
        }
    }

    @Test
    void behaviorsComeAsOftenAsThePageSays() {
        Random random = new EachNumberOnce();
        Map<ClientBehavior, Integer> drawn = new EnumMap<>(ClientBehavior.class);
        for (int i = 0; i < 100; i++) {
            drawn.merge(ClientBehavior.draw(random), 1, Integer::sum);
        }
        assertEquals(
                Map.of(
                        ClientBehavior.LEAVES,
                        3,
                        ClientBehavior.HALF_CLOSES,
                        2,
                        ClientBehavior.HURRIES,
                        2,
                        ClientBehavior.STOPS,
                        1,
                        ClientBehavior.WAITS,
                        92),
                drawn);
    }
}
