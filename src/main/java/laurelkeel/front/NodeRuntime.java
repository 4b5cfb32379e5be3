package laurelkeel.front;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.eventloop.LoopThreads;
import laurelkeel.wire.UnexpectedInputProcessor;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.transport.socket.nio.NioSession;
import org.jspecify.annotations.Nullable;

/**
 * The event loop and the threads that a front node and its services share; the node ends them.
 *
 * @param incarnation names this start of the node among all its starts
 * @param inbox what the node's sources have learned
 * @param sharedProcessors run the sockets of all sides; null where each side has threads of its own
 */
public record NodeRuntime(
        String incarnation,
        EventLoop loop,
        EventInbox inbox,
        ExecutorService socketThreads,
        ScheduledExecutorService timer,
        @Nullable SimpleIoProcessorPool<NioSession> sharedProcessors) {
    /** Where the node's clock begins: what began up to an hour before the node did still has a moment above 0. */
    private static final long CLOCK_ORIGIN_TICKS = 36_000_000;

    private static final long NANOS_PER_TICK = 100_000;
    private static final int NAME_RADIX = 36;

    /** How many random names there are of a start within one millisecond; all have one length. */
    private static final int RANDOM_NAMES = NAME_RADIX * NAME_RADIX * NAME_RADIX;

    /** Creates a runtime in which each side has socket threads of its own. */
    public static NodeRuntime create(LongSupplier clock) {
        EventLoop loop = new EventLoop(clock);
        return new NodeRuntime(
                newIncarnation(),
                loop,
                new EventInbox(),
                LoopThreads.cachedPool(loop, "front-sockets"),
                LoopThreads.timer(loop, "front-timer"),
                null);
    }

    /** Creates a runtime for a host with one core or less: one thread has all sockets. */
    public static NodeRuntime forSingleCore(LongSupplier clock) {
        NodeRuntime runtime = create(clock);
        return new NodeRuntime(
                runtime.incarnation,
                runtime.loop,
                runtime.inbox,
                runtime.socketThreads,
                runtime.timer,
                runtime.processors(1));
    }

    /** Two starts differ also where the wall clock was stepped back between them. */
    private static String newIncarnation() {
        int random = RANDOM_NAMES + ThreadLocalRandom.current().nextInt(RANDOM_NAMES);
        return Long.toString(System.currentTimeMillis(), NAME_RADIX) + Integer.toString(random, NAME_RADIX);
    }

    /** The processors for the sockets of one side: a number of its own, or those that all sides share. */
    public SimpleIoProcessorPool<NioSession> processors(int threads) {
        return sharedProcessors != null
                ? sharedProcessors
                : new SimpleIoProcessorPool<>(UnexpectedInputProcessor.class, socketThreads, threads, null);
    }

    /** A clock in ticks that only advances. */
    public static LongSupplier monotonicClock() {
        long startNanos = System.nanoTime();
        return () -> CLOCK_ORIGIN_TICKS + (System.nanoTime() - startNanos) / NANOS_PER_TICK;
    }
}
