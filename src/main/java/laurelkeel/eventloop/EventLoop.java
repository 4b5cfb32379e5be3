package laurelkeel.eventloop;

import java.util.PriorityQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import org.jctools.queues.MpscUnboundedArrayQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one thread that owns all state of its user. Other threads post; the loop runs what was posted, then what is
 * due, then calls the turn's end. What was told (lists, rollout news) is run before anything else of a turn, so
 * that a backlog of traffic never delays it.
 *
 * <p>A posted task or an alarm that throws a RuntimeException has failed by itself: it is logged and counted, and the loop
 * goes on, for ending would fail all that others hold as well. What the turn's end throws, and every Error, ends the loop.
 */
public final class EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    private static final int A_TURN = 512;
    private static final int SWEEP = 1024;

    /** Something due at a moment. Cancelled ones stay in their place, and are swept out when most are. */
    public final class ScheduledTask implements Comparable<ScheduledTask> {
        private final long at, order;
        private Runnable then;

        private ScheduledTask(long at, long order, Runnable then) {
            this.at = at;
            this.order = order;
            this.then = then;
        }

        /** Loop thread only. */
        public void cancel() {
            if (then != null) {
                then = null;
                cancelled++;
            }
        }

        @Override
        public int compareTo(ScheduledTask o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    private final MpscUnboundedArrayQueue<Runnable> posted = new MpscUnboundedArrayQueue<>(1024);
    private final MpscUnboundedArrayQueue<Runnable> news = new MpscUnboundedArrayQueue<>(64);
    private final PriorityQueue<ScheduledTask> alarms = new PriorityQueue<>();
    private final LongSupplier clockTicks;
    private long order;
    private int cancelled;
    private long nowTicks;
    private volatile boolean asleep, stopped;
    private volatile Throwable failure;
    /** Counted by the loop's thread alone. */
    private volatile int failedTasks;

    private Thread thread;

    /** @param clock tenths of a millisecond, only advancing */
    public EventLoop(LongSupplier clock) {
        this.clockTicks = clock;
        this.nowTicks = clock.getAsLong();
    }

    /** From any thread: run it in the next turn, in the order of posting. */
    public void post(Runnable r) {
        posted.offer(r);
        wake();
    }

    /** From any thread: as post, but ahead of all traffic. */
    public void postPriority(Runnable r) {
        news.offer(r);
        wake();
    }

    private void wake() {
        if (asleep) {
            LockSupport.unpark(thread);
        }
    }

    /** How much is posted and not yet run; what bounds the queue asks this before it posts. */
    public int queuedTasks() {
        return posted.size();
    }

    /** The moment of the present turn. */
    public long nowTicks() {
        return nowTicks;
    }

    /** The moment right now, from any thread. */
    public long clockTicks() {
        return clockTicks.getAsLong();
    }

    /** Loop thread only. */
    public ScheduledTask schedule(long when, Runnable then) {
        if (cancelled > SWEEP && cancelled > alarms.size() / 2) {
            // most reqs end long before their time-outs: what guards those must not fill the heap
            alarms.removeIf(a -> a.then == null);
            cancelled = 0;
        }
        ScheduledTask a = new ScheduledTask(when, order++, then);
        alarms.add(a);
        return a;
    }

    public void stop() {
        stopped = true;
        wake();
    }

    /** From any thread: run ends with this. For what killed a thread beside the loop, which nobody would miss else. */
    public void fail(Throwable why) {
        if (failure == null) {
            failure = why;
        }
        stop();
    }

    /**
     * Runs until stopped.
     *
     * @param end called at the end of each turn in which anything ran; true asks for another turn at once
     */
    public void run(java.util.function.BooleanSupplier end) {
        thread = Thread.currentThread();
        while (!stopped) {
            nowTicks = Math.max(nowTicks, clockTicks.getAsLong());
            // bounded too: a source that never pauses must not keep traffic and alarms from their turn
            boolean ran = drain(news, A_TURN);
            ran |= drain(posted, A_TURN);
            while (!alarms.isEmpty() && alarms.peek().at <= nowTicks) {
                ScheduledTask due = alarms.poll();
                Runnable then = due.then;
                due.then = null;
                cancelled -= then == null ? 1 : 0;
                if (then != null) {
                    runTask(then);
                    ran = true;
                }
            }
            boolean more = ran;
            while (more && !stopped) {
                more = end.getAsBoolean();
            }
            if (!ran) {
                sleep();
            }
        }
        if (failure instanceof Error e) {
            throw e;
        } else if (failure != null) {
            throw failure instanceof RuntimeException e ? e : new IllegalStateException(failure);
        }
    }

    private boolean drain(MpscUnboundedArrayQueue<Runnable> from, int most) {
        int n = 0;
        for (Runnable r; n < most && (r = from.poll()) != null; n++) {
            runTask(r);
        }
        return n > 0;
    }

    private void runTask(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            failedTasks++;
            LOG.error("a task of the loop failed; the loop goes on", e);
        }
    }

    /**
     * Runs what was posted and had no turn, on the loop's thread once run has ended: others may be owed something for it. Nothing
     * is decided any more, for no turn's end is called.
     */
    public void runRemaining() {
        drain(news, Integer.MAX_VALUE);
        drain(posted, Integer.MAX_VALUE);
    }

    /** Tasks and alarms that failed since the start; on any thread. */
    public int failedTasks() {
        return failedTasks;
    }

    private void sleep() {
        asleep = true;
        // looked at again after the flag: a post in between would else sleep through
        if (posted.isEmpty() && news.isEmpty() && !stopped) {
            if (alarms.isEmpty()) {
                LockSupport.parkNanos(this, 1_000_000_000L);
            } else {
                long left = alarms.peek().at - clockTicks.getAsLong();
                if (left > 0) {
                    LockSupport.parkNanos(this, left * 100_000L);
                }
            }
        }
        asleep = false;
    }
}
