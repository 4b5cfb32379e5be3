package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class DeadlineQueueTest {
    @Test
    void itemsAreOrderedByDueTimeAndThenByInsertion() {
        DeadlineQueue<String> queue = new DeadlineQueue<>();
        queue.add("late", 30);
        queue.add("first", 10);
        queue.add("second", 10);
        assertEquals(10, queue.nextDueAtTicks());
        assertEquals(List.of("first", "second"), queue.removeNext());
        assertEquals(30, queue.nextDueAtTicks());
        assertEquals(List.of("late"), queue.removeNext());
        assertEquals(DeadlineQueue.NEVER, queue.nextDueAtTicks());
    }
}
