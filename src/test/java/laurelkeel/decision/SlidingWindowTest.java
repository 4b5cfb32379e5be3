package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SlidingWindowTest {
    private final SlidingWindow window = new SlidingWindow();

    @Test
    void theStartOfTheWindowIsInclusive() {
        window.record(10);
        window.record(20);
        window.record(20);
        window.record(30);
        assertEquals(4, window.countSince(10));
        assertEquals(3, window.countSince(11));
        assertEquals(1, window.countSince(21));
    }

    @Test
    void theWindowIsEmptyOnceAllEventsAreRemoved() {
        assertTrue(window.isEmpty());
        window.record(10);
        window.removeBefore(10);
        assertFalse(window.isEmpty());
        window.removeBefore(11);
        assertTrue(window.isEmpty());
    }
}
