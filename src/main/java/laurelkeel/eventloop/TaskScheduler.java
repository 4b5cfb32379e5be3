package laurelkeel.eventloop;

import java.util.PriorityQueue;
import org.jspecify.annotations.Nullable;

/**
 * A queue of tasks ordered by due time; tasks with the same due time run in the order in which they were scheduled.
 *
 * <p>Not thread-safe; called on the event loop's thread.
 */
final class TaskScheduler {
    /** Up to this number of cancelled tasks, scanning the queue to remove them is not worth its cost. */
    private static final int COMPACTION_THRESHOLD = 1024;

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long nextSequence;
    private int cancelledTasks;

    /**
     * Adds a task.
     *
     * @param dueTicks the time at which it becomes due
     */
    EventLoop.ScheduledTask schedule(long dueTicks, Runnable action) {
        compactIfMostlyCancelled();
        Task task = new Task(dueTicks, nextSequence++, action);
        tasks.add(task);
        return task;
    }

    /** Removes the next task that is due by {@code nowTicks} and returns its action; null if none is due. */
    @Nullable
    Runnable pollDue(long nowTicks) {
        for (Task next = tasks.peek(); next != null && next.dueTicks <= nowTicks; next = tasks.peek()) {
            tasks.poll();
            Runnable action = next.takeAction();
            if (action != null) {
                return action;
            }
            cancelledTasks--;
        }
        return null;
    }

    /** Returns the due time of the first task in the queue, cancelled or not; {@code Long.MAX_VALUE} if the queue is empty. */
    long nextDueTicks() {
        Task next = tasks.peek();
        return next == null ? Long.MAX_VALUE : next.dueTicks;
    }

    /** Returns the number of tasks in the queue, including cancelled ones that have not been removed yet. */
    int size() {
        return tasks.size();
    }

    /** Removes cancelled tasks. Most requests end long before their timeouts, whose tasks would otherwise fill the heap. */
    private void compactIfMostlyCancelled() {
        if (cancelledTasks > COMPACTION_THRESHOLD && cancelledTasks > tasks.size() / 2) {
            tasks.removeIf(task -> task.action == null);
            cancelledTasks = 0;
        }
    }

    private final class Task implements EventLoop.ScheduledTask, Comparable<Task> {
        private final long dueTicks;
        private final long sequence;
        /** Null once the task has run or was cancelled. */
        private @Nullable Runnable action;

        Task(long dueTicks, long sequence, Runnable action) {
            this.dueTicks = dueTicks;
            this.sequence = sequence;
            this.action = action;
        }

        @Nullable
        Runnable takeAction() {
            Runnable taken = action;
            action = null;
            return taken;
        }

        @Override
        public void cancel() {
            if (takeAction() != null) {
                cancelledTasks++;
            }
        }

        @Override
        public int compareTo(Task other) {
            return dueTicks != other.dueTicks
                    ? Long.compare(dueTicks, other.dueTicks)
                    : Long.compare(sequence, other.sequence);
        }
    }
}
