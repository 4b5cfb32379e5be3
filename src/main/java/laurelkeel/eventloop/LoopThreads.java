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
 * Creates executors whose threads fail an event loop if they die unexpectedly, for example from an {@code OutOfMemoryError}.
 * Otherwise the process would continue without its sockets or its updates and still report itself healthy. All threads are
 * daemon threads.
 */
public final class LoopThreads {
    private LoopThreads() {}

    /**
     * Returns an executor that creates threads as needed, one for each concurrent task.
     *
     * @param loop the loop to fail if a thread dies
     * @param name the name of its threads
     */
    public static ExecutorService cachedPool(EventLoop loop, String name) {
        return Executors.newCachedThreadPool(threadFactory(loop, name));
    }

    /**
     * Returns an executor with a fixed number of threads.
     *
     * @param loop the loop to fail if a thread dies
     * @param name the name of its threads
     */
    public static ExecutorService fixedPool(EventLoop loop, String name, int threads) {
        return Executors.newFixedThreadPool(threads, threadFactory(loop, name));
    }

    /**
     * Returns a scheduled executor with one thread; a task that throws fails the loop as well.
     *
     * @param loop the loop to fail if the thread dies or a task throws
     * @param name the name of its thread
     */
    public static ScheduledExecutorService timer(EventLoop loop, String name) {
        return new ScheduledThreadPoolExecutor(1, threadFactory(loop, name)) {
            @Override
            protected void afterExecute(Runnable task, @Nullable Throwable thrown) {
                // the executor only stores an exception in the task's future, and silently cancels a periodic task that
                // threw
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
            thread.setUncaughtExceptionHandler((thrower, cause) -> loop.fail(cause));
            return thread;
        };
    }
}
