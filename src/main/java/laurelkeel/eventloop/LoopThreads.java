package laurelkeel.eventloop;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;

/**
 * The threads beside a loop. Whatever ends one of them unforeseen, as lack of memory does, ends the loop too: its
 * user would go on without sockets or without news, and call itself well.
 */
public final class LoopThreads {
    private LoopThreads() {}

    private static ThreadFactory named(EventLoop loop, String name) {
        return r -> {
            Thread t = new Thread(r, name);
            t.setDaemon(true);
            t.setUncaughtExceptionHandler((thread, e) -> loop.fail(e));
            return t;
        };
    }

    /** As many as are needed, for what brings its own number. */
    public static ExecutorService cachedPool(EventLoop loop, String name) {
        return Executors.newCachedThreadPool(named(loop, name));
    }

    public static ExecutorService fixedPool(EventLoop loop, String name, int threads) {
        return Executors.newFixedThreadPool(threads, named(loop, name));
    }

    public static ScheduledExecutorService timer(EventLoop loop, String name) {
        return new ScheduledThreadPoolExecutor(1, named(loop, name)) {
            @Override
            protected void afterExecute(Runnable r, Throwable t) {
                // what a timed task throws is kept in its future, and a repeated one silently never runs again
                if (r instanceof Future<?> f && f.isDone() && !f.isCancelled()) {
                    try {
                        f.get();
                    } catch (ExecutionException e) {
                        loop.fail(e.getCause());
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                }
            }
        };
    }
}
