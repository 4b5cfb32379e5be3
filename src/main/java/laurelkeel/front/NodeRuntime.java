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
 * The event loop and the threads that a front node and its services share; the node shuts them down.
 *
 * @param incarnation identifies this process of the node among all its restarts
 * @param inbox receives the events of all sources
 * @param sharedProcessors process the sockets of both sides; null if each side has socket threads of its own
 */
public record NodeRuntime(
        String incarnation,
        EventLoop loop,
        EventInbox inbox,
        ExecutorService socketThreads,
        ScheduledExecutorService timer,
        @Nullable SimpleIoProcessorPool<NioSession> sharedProcessors) {
    /** The start of the node's clock: a time up to an hour before the node's start is still above 0. */
    private static final long CLOCK_ORIGIN_TICKS = 36_000_000;

    private static final long NANOS_PER_TICK = 100_000;
    private static final int NAME_RADIX = 36;

    /** Number of random suffixes of incarnations that start in the same millisecond; all have the same length. */
    private static final int RANDOM_SUFFIXES = NAME_RADIX * NAME_RADIX * NAME_RADIX;

    /** Creates a runtime in which the client side and the endpoint side have socket threads of their own. */
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

    /** Creates a runtime for a host with one core or less: one thread serves the sockets of both sides. */
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

    /**
     * Generates a name from the wall clock and a random suffix, since the clock may be stepped back between two starts.
     */
    private static String newIncarnation() {
        int random = RANDOM_SUFFIXES + ThreadLocalRandom.current().nextInt(RANDOM_SUFFIXES);
        return Long.toString(System.currentTimeMillis(), NAME_RADIX) + Integer.toString(random, NAME_RADIX);
    }

    /**
     * Returns the processors for the sockets of one side: the shared ones, or new ones with the given number of
     * threads.
     */
    public SimpleIoProcessorPool<NioSession> processors(int threads) {
        return sharedProcessors != null
                ? sharedProcessors
                : new SimpleIoProcessorPool<>(UnexpectedInputProcessor.class, socketThreads, threads, null);
    }

    /** Returns a monotonic clock in ticks. */
    public static LongSupplier monotonicClock() {
        long startNanos = System.nanoTime();
        return () -> CLOCK_ORIGIN_TICKS + (System.nanoTime() - startNanos) / NANOS_PER_TICK;
    }
}
