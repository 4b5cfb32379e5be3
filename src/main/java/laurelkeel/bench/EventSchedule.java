package laurelkeel.bench;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A queue of tasks in the order of their due times in ticks. Tasks with the same due time run in the order in which
 * they were added. Not thread-safe.
 */
final class EventSchedule {
    private record ScheduledTask(long dueAtTicks, long order, Runnable task) {}

    private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledTask::dueAtTicks).thenComparingLong(ScheduledTask::order));
    private long nextOrder;

    void add(long dueAtTicks, Runnable task) {
        queue.add(new ScheduledTask(dueAtTicks, nextOrder++, task));
    }

    /** Runs all tasks that are due, including those that are added meanwhile. */
    void runUntil(long nowTicks) {
        for (ScheduledTask next = queue.peek(); next != null && next.dueAtTicks <= nowTicks; next = queue.peek()) {
            queue.remove();
            next.task.run();
        }
    }

    /** Returns the due time of the next task; {@link Long#MAX_VALUE} if there is none. */
    long nextDueAtTicks() {
        ScheduledTask next = queue.peek();
        return next == null ? Long.MAX_VALUE : next.dueAtTicks;
    }
}
