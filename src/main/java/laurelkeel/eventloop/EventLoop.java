package laurelkeel.eventloop;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.jctools.queues.MpscUnboundedArrayQueue;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A single-threaded event loop that owns all state of its user. Each turn runs priority tasks, then ordinary tasks, then the
 * scheduled tasks that are due, and calls the end-of-turn hook if any of them ran.
 *
 * <p>A task that throws a {@code RuntimeException} is logged and counted, and the loop continues: ending it would fail all
 * other work in flight as well. An {@code Error}, and whatever the end-of-turn hook throws, ends the loop.
 *
 * <p>Threading: {@link #schedule}, {@link #nowTicks} and {@link #runRemaining} are called on the loop's thread, which is the
 * one that calls {@link #run}; {@link #schedule} may also be called before the loop starts. All other methods are thread-safe.
 */
public final class EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    /** Bounds each queue's share of a turn, so that no source starves the others. */
    private static final int MAX_TASKS_PER_TURN = 512;

    private static final int TASK_QUEUE_CHUNK = 1024;
    private static final int PRIORITY_QUEUE_CHUNK = 64;
    private static final long NANOS_PER_TICK = 100_000;
    private static final long MAX_SLEEP_NANOS = 1_000_000_000L;

    /** A task that runs at a given time unless it is cancelled. */
    public interface ScheduledTask {
        /** Cancels the task if it has not run yet; on the loop's thread. */
        void cancel();
    }

    private final MpscUnboundedArrayQueue<Runnable> tasks = new MpscUnboundedArrayQueue<>(TASK_QUEUE_CHUNK);
    private final MpscUnboundedArrayQueue<Runnable> priorityTasks = new MpscUnboundedArrayQueue<>(PRIORITY_QUEUE_CHUNK);
    private final TaskScheduler scheduler = new TaskScheduler();
    private final LongSupplier clock;
    private final AtomicInteger failedTasks = new AtomicInteger();
    private long nowTicks;
    private volatile boolean sleeping;
    private volatile boolean stopped;
    private volatile @Nullable Throwable failure;
    /** Set before {@code sleeping} is, and read only after that. */
    private @Nullable Thread thread;

    /**
     * Creates a loop that is not running yet.
     *
     * @param clock the monotonic time in ticks, of a tenth of a millisecond
     */
    public EventLoop(LongSupplier clock) {
        this.clock = clock;
        this.nowTicks = clock.getAsLong();
    }

    /** Runs a task in one of the next turns, in the order of posting. */
    public void post(Runnable task) {
        tasks.offer(task);
        wake();
    }

    /** Runs a task ahead of all ordinary tasks: a backlog of traffic never delays updates of endpoints and rollouts. */
    public void postPriority(Runnable task) {
        priorityTasks.offer(task);
        wake();
    }

    private void wake() {
        if (sleeping) {
            LockSupport.unpark(thread);
        }
    }

    /** Returns how many ordinary tasks wait; the queue has no bound of its own, so that sources of load check this. */
    public int queuedTasks() {
        return tasks.size();
    }

    /** Returns the time of the current turn in ticks. */
    public long nowTicks() {
        return nowTicks;
    }

    /** Returns the time of the clock in ticks, which runs on within a turn. */
    public long clockTicks() {
        return clock.getAsLong();
    }

    /**
     * Schedules a task.
     *
     * @param dueTicks when to run it; a time that has passed means in this turn or the next
     */
    public ScheduledTask schedule(long dueTicks, Runnable task) {
        return scheduler.schedule(dueTicks, task);
    }

    /** Ends the loop after the task that is running. */
    public void stop() {
        stopped = true;
        wake();
    }

    /** Ends the loop with an error that {@link #run} then throws; the first one given counts. */
    public void fail(Throwable cause) {
        if (failure == null) {
            failure = cause;
        }
        stop();
    }

    /**
     * Runs until the loop is stopped.
     *
     * @param endOfTurn called at the end of each turn in which any task ran, and again for as long as it returns true
     * @throws IllegalStateException where the loop failed with a checked exception; unchecked ones and errors are rethrown
     */
    public void run(BooleanSupplier endOfTurn) {
        thread = Thread.currentThread();
        while (!stopped) {
            nowTicks = Math.max(nowTicks, clock.getAsLong());
            boolean ran = drain(priorityTasks, MAX_TASKS_PER_TURN);
            ran |= drain(tasks, MAX_TASKS_PER_TURN);
            ran |= runDueTasks();
            boolean more = ran;
            while (more && !stopped) {
                more = endOfTurn.getAsBoolean();
            }
            if (!ran) {
                sleepUntilNextTask();
            }
        }
        throwFailure();
    }

    /**
     * Runs the posted tasks that had no turn, once {@link #run} has ended: they may release what others wait for. The
     * end-of-turn hook isn't called.
     */
    public void runRemaining() {
        drain(priorityTasks, Integer.MAX_VALUE);
        drain(tasks, Integer.MAX_VALUE);
    }

    /** Returns how many tasks have failed since the start. */
    public int failedTasks() {
        return failedTasks.get();
    }

    private boolean drain(MpscUnboundedArrayQueue<Runnable> queue, int maxTasks) {
        int count = 0;
        while (count < maxTasks) {
            Runnable task = queue.poll();
            if (task == null) {
                break;
            }
            runTask(task);
            count++;
        }
        return count > 0;
    }

    private boolean runDueTasks() {
        boolean ran = false;
        for (Runnable due = scheduler.pollDue(nowTicks); due != null; due = scheduler.pollDue(nowTicks)) {
            runTask(due);
            ran = true;
        }
        return ran;
    }

    private void runTask(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            failedTasks.incrementAndGet();
            LOG.error("event loop task failed; the loop continues", e);
        }
    }

    private void sleepUntilNextTask() {
        sleeping = true;
        // checked again after the flag is set: a task posted in between would not wake the loop
        if (tasks.isEmpty() && priorityTasks.isEmpty() && !stopped) {
            long dueTicks = scheduler.nextDueTicks();
            if (dueTicks == Long.MAX_VALUE) {
                LockSupport.parkNanos(this, MAX_SLEEP_NANOS);
            } else {
                long remainingTicks = dueTicks - clock.getAsLong();
                if (remainingTicks > 0) {
                    LockSupport.parkNanos(this, remainingTicks * NANOS_PER_TICK);
                }
            }
        }
        sleeping = false;
    }

    private void throwFailure() {
        Throwable cause = failure;
        if (cause instanceof Error error) {
            throw error;
        }
        if (cause instanceof RuntimeException exception) {
            throw exception;
        }
        if (cause != null) {
            throw new IllegalStateException(cause);
        }
    }
}
