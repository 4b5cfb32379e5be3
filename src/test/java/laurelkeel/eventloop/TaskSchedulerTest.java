package laurelkeel.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class TaskSchedulerTest {
    private final TaskScheduler scheduler = new TaskScheduler();
    private final List<String> ran = new ArrayList<>();

    private void runDue(long nowTicks) {
        for (Runnable due = scheduler.pollDue(nowTicks); due != null; due = scheduler.pollDue(nowTicks)) {
            due.run();
        }
    }

    @Test
    void tasksRunByDueTimeThenInTheOrderOfScheduling() {
        scheduler.schedule(20, () -> ran.add("later"));
        scheduler.schedule(10, () -> ran.add("first"));
        scheduler.schedule(10, () -> ran.add("second"));
        runDue(9);
        assertEquals(List.of(), ran);
        runDue(10);
        assertEquals(List.of("first", "second"), ran);
        runDue(20);
        assertEquals(List.of("first", "second", "later"), ran);
        assertEquals(Long.MAX_VALUE, scheduler.nextDueTicks());
    }

    @Test
    void aTaskScheduledByADueTaskRunsInTheSameTurnIfItIsDue() {
        scheduler.schedule(10, () -> scheduler.schedule(5, () -> ran.add("nested")));
        runDue(10);
        assertEquals(List.of("nested"), ran);
    }

    @Test
    void aCancelledTaskDoesNotRun() {
        EventLoop.ScheduledTask task = scheduler.schedule(10, () -> ran.add("cancelled"));
        task.cancel();
        task.cancel();
        assertNull(scheduler.pollDue(10));
        assertEquals(List.of(), ran);
        assertEquals(0, scheduler.size());
    }

    @Test
    void cancelledTasksAreRemovedOnceTheyAreMostOfTheQueue() {
        for (int i = 0; i < 100_000; i++) {
            scheduler.schedule(1_000_000 + i, () -> ran.add("timeout")).cancel();
            assertTrue(scheduler.size() <= 1_100, "tasks in the queue: " + scheduler.size());
        }
        scheduler.schedule(10, () -> ran.add("not cancelled"));
        runDue(10);
        assertEquals(List.of("not cancelled"), ran);
    }

    @Test
    void cancellingATaskThatHasRunDoesNotCountAsACancelledTaskInTheQueue() {
        List<EventLoop.ScheduledTask> done = new ArrayList<>();
        for (int i = 0; i < 2_000; i++) {
            done.add(scheduler.schedule(10, () -> ran.add("done")));
        }
        runDue(10);
        done.forEach(EventLoop.ScheduledTask::cancel);
        scheduler.schedule(20, () -> ran.add("last"));
        assertEquals(1, scheduler.size());
        runDue(20);
        assertEquals(2_001, ran.size());
    }
}
