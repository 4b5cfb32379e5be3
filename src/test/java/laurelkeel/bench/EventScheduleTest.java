package laurelkeel.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventScheduleTest {
    private final EventSchedule schedule = new EventSchedule();
    private final List<String> ran = new ArrayList<>();

    @Test
    void tasksRunInOrderOfDueTimeAndThenOfAddition() {
        schedule.add(20, () -> ran.add("c"));
        schedule.add(10, () -> ran.add("a"));
        schedule.add(10, () -> ran.add("b"));
        schedule.add(30, () -> ran.add("later"));
        schedule.runUntil(20);
        assertEquals(List.of("a", "b", "c"), ran);
        assertEquals(30, schedule.nextDueAtTicks());
    }

    @Test
    void taskAddedByARunningTaskRunsInTheSameCallIfDue() {
        schedule.add(10, () -> schedule.add(15, () -> ran.add("added")));
        schedule.runUntil(20);
        assertEquals(List.of("added"), ran);
        assertEquals(Long.MAX_VALUE, schedule.nextDueAtTicks());
    }
}
