package laurelkeel.eventloop;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import org.jspecify.annotations.Nullable;

/**
 * Executors whose threads fail the event loop when they die unexpectedly, as for lack of memory. Without that, the loop's user
 * would go on without its sockets or its updates and still report itself healthy. All threads are daemons.
 */
public final class LoopThreads {
    private LoopThreads() {}

    /**
     * Returns an executor with as many threads as it has tasks at a time.
     *
     * @param loop fails when a thread dies
     * @param name the name of its threads
     */
    public static ExecutorService cachedPool(EventLoop loop, String name) {
        return Executors.newCachedThreadPool(threadFactory(loop, name));
    }

    /**
     * Returns an executor with a fixed number of threads.
     *
     * @param loop fails when a thread dies
     * @param name the name of its threads
     */
    public static ExecutorService fixedPool(EventLoop loop, String name, int threads) {
        return Executors.newFixedThreadPool(threads, threadFactory(loop, name));
    }

    /**
     * Returns a timer with one thread; what a timed task throws fails the loop as well.
     *
     * @param loop fails when the thread dies or a task throws
     * @param name the name of its thread
     */
    public static ScheduledExecutorService timer(EventLoop loop, String name) {
        return new ScheduledThreadPoolExecutor(1, threadFactory(loop, name)) {
            @Override
            protected void afterExecute(Runnable task, @Nullable Throwable thrown) {
                // the executor keeps an exception in the task's future, and silently drops a repeated task
                if (task instanceof Future<?> future && future.isDone() && !future.isCancelled()) {
                    failLoopIfFailed(loop, future);
                }
            }
        };
    }

    private static void failLoopIfFailed(EventLoop loop, Future<?> future) {
        try {
            future.get();
        } catch (ExecutionException e) {
            Throwable cause = e.getCause();
            loop.fail(cause == null ? e : cause);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static ThreadFactory threadFactory(EventLoop loop, String name) {
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            thread.setUncaughtExceptionHandler((dead, cause) -> loop.fail(cause));
            return thread;
        };
    }
}
