package laurelkeel.eventloop;

import java.util.PriorityQueue;
import org.jspecify.annotations.Nullable;

/**
 * Tasks that become due at a given time, in the order of that time and then of their scheduling.
 *
 * <p>Not thread-safe; called on the event loop's thread.
 */
final class TaskScheduler {
    /** Cancelled tasks that may stay in the queue before it is worth searching for them. */
    private static final int COMPACTION_THRESHOLD = 1024;

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long nextSequence;
    private int cancelledTasks;

    /**
     * Adds a task.
     *
     * @param dueTicks when it becomes due
     */
    EventLoop.ScheduledTask schedule(long dueTicks, Runnable action) {
        compactIfMostlyCancelled();
        Task task = new Task(dueTicks, nextSequence++, action);
        tasks.add(task);
        return task;
    }

    /** Removes the next task that is due by {@code nowTicks} and returns its action; null where none is due. */
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

    /** Returns when the first task in the queue, cancelled or not, becomes due; {@code Long.MAX_VALUE} for none. */
    long nextDueTicks() {
        Task next = tasks.peek();
        return next == null ? Long.MAX_VALUE : next.dueTicks;
    }

    /** Tasks in the queue, with the cancelled ones that are still in it. */
    int size() {
        return tasks.size();
    }

    /** Most requests end long before their timeouts: the cancelled ones must not fill the heap. */
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
