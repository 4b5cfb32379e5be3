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

/**
 * The threads that a front and its outfit share; the front ends them.
 *
 * @param life names this start of the front among all its starts
 * @param inbox what the front's sources have learned
 * @param shared runs the sockets of all sides; null where each side has threads of its own
 */
public record NodeRuntime(
        String incarnation,
        EventLoop loop,
        EventInbox inbox,
        ExecutorService socketThreads,
        ScheduledExecutorService timer,
        SimpleIoProcessorPool<NioSession> sharedProcessors) {
    /** The front's clock begins here, so that what began before the front did still has a moment above 0. */
    private static final long ORIGIN = 36_000_000;
    /** As many random names of a start within one millisecond. */
    private static final int LIVES = 36 * 36 * 36;

    /** Two starts differ also where the wall clock was stepped back between them. */
    private static String newLife() {
        return Long.toString(System.currentTimeMillis(), 36)
                + Integer.toString(LIVES + ThreadLocalRandom.current().nextInt(LIVES), 36);
    }

    public static NodeRuntime create(LongSupplier clock) {
        EventLoop loop = new EventLoop(clock);
        return new NodeRuntime(
                newLife(),
                loop,
                new EventInbox(),
                LoopThreads.cachedPool(loop, "front-sockets"),
                LoopThreads.timer(loop, "front-timer"),
                null);
    }

    /** For a machine with one core or less: one thread has all sockets. */
    public static NodeRuntime forSingleCore(LongSupplier clock) {
        NodeRuntime b = create(clock);
        return new NodeRuntime(b.incarnation, b.loop, b.inbox, b.socketThreads, b.timer, b.processors(1));
    }

    /** So many socket threads for one side, or the one that all share. */
    public SimpleIoProcessorPool<NioSession> processors(int threads) {
        return sharedProcessors != null
                ? sharedProcessors
                : new SimpleIoProcessorPool<>(UnexpectedInputProcessor.class, socketThreads, threads, null);
    }

    /** Tenths of a millisecond since this was called, on a clock that only advances. */
    public static LongSupplier monotonicClock() {
        long start = System.nanoTime();
        return () -> ORIGIN + (System.nanoTime() - start) / 100_000;
    }
}
