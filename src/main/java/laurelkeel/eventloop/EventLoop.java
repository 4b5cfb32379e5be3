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
 * A single-threaded event loop; all state of its user is accessed on the loop's thread only. Each turn (iteration) runs
 * priority tasks, then ordinary tasks, then the scheduled tasks that are due, and calls the end-of-turn hook if any task ran.
 *
 * <p>If a task throws a {@code RuntimeException}, the exception is logged and counted, and the loop continues, since ending it
 * would also fail all other work in flight. An {@code Error} from a task, or anything that the end-of-turn hook throws, ends
 * the loop.
 *
 * <p>Threading: {@link #schedule}, {@link #nowTicks} and {@link #runRemaining} must be called on the loop's thread, which is
 * the one that calls {@link #run}; {@link #schedule} may also be called before the loop starts. All other methods are
 * thread-safe.
 */
public final class EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    /** Maximum tasks to run from each queue in a turn, so that one queue cannot starve the other or the scheduled tasks. */
    private static final int MAX_TASKS_PER_TURN = 512;

    private static final int TASK_QUEUE_CHUNK = 1024;
    private static final int PRIORITY_QUEUE_CHUNK = 64;
    private static final long NANOS_PER_TICK = 100_000;
    private static final long MAX_SLEEP_NANOS = 1_000_000_000L;

    /** A task that runs at a given time unless it is cancelled. */
    public interface ScheduledTask {
        /** Cancels the task if it has not run yet. Must be called on the loop's thread. */
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
    /** The thread of {@link #run}; written before the volatile {@code sleeping} is set, and read only after it was seen set. */
    private @Nullable Thread thread;

    /**
     * Creates a loop that is not running yet.
     *
     * @param clock returns the monotonic time in ticks of a tenth of a millisecond
     */
    public EventLoop(LongSupplier clock) {
        this.clock = clock;
        this.nowTicks = clock.getAsLong();
    }

    /** Queues an ordinary task, to run in one of the next turns; ordinary tasks run in the order in which they are posted. */
    public void post(Runnable task) {
        tasks.offer(task);
        wake();
    }

    /** Queues a task to run before all ordinary tasks, so that updates of endpoints and rollouts do not wait behind traffic. */
    public void postPriority(Runnable task) {
        priorityTasks.offer(task);
        wake();
    }

    private void wake() {
        if (sleeping) {
            LockSupport.unpark(thread);
        }
    }

    /** Returns the number of queued ordinary tasks. The queue is unbounded, so sources of load check this number. */
    public int queuedTasks() {
        return tasks.size();
    }

    /** Returns the time in ticks at which the current turn started. */
    public long nowTicks() {
        return nowTicks;
    }

    /** Returns the current time of the clock in ticks, which, unlike {@link #nowTicks}, advances during a turn. */
    public long clockTicks() {
        return clock.getAsLong();
    }

    /**
     * Schedules a task.
     *
     * @param dueTicks the time to run it; a task whose time has passed runs in this turn or the next
     */
    public ScheduledTask schedule(long dueTicks, Runnable task) {
        return scheduler.schedule(dueTicks, task);
    }

    /** Requests the end of the loop; it ends after the current turn at the latest. */
    public void stop() {
        stopped = true;
        wake();
    }

    /** Ends the loop and makes {@link #run} throw {@code cause}; if it is called several times, the first cause is thrown. */
    public void fail(Throwable cause) {
        if (failure == null) {
            failure = cause;
        }
        stop();
    }

    /**
     * Runs the loop until it is stopped or fails.
     *
     * @param endOfTurn called at the end of each turn in which any task ran, and repeatedly as long as it returns true
     * @throws IllegalStateException if the loop failed with a checked exception; unchecked exceptions and errors are rethrown
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
     * Runs the posted tasks that are still queued after {@link #run} has ended, since they may release resources that other
     * threads wait for. The end-of-turn hook is not called.
     */
    public void runRemaining() {
        drain(priorityTasks, Integer.MAX_VALUE);
        drain(tasks, Integer.MAX_VALUE);
    }

    /** Returns the number of tasks that have thrown a {@code RuntimeException} since the start. */
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
        // check again after setting the flag: a task posted before that did not wake the loop
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
