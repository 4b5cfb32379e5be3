package laurelkeel.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;

class EventLoopTest {
    private static final long WAIT_SECONDS = 10;

    private final EventLoop loop = new EventLoop(() -> System.nanoTime() / 100_000);

    /** Starts the loop; the future completes with the exception that the loop threw, or null if it was stopped. */
    private CompletableFuture<Throwable> startLoop() {
        CompletableFuture<Throwable> ended = new CompletableFuture<>();
        Thread thread = new Thread(() -> {
            try {
                loop.run(() -> false);
                ended.complete(null);
            } catch (RuntimeException | Error e) {
                ended.complete(e);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return ended;
    }

    private static Throwable await(CompletableFuture<Throwable> ended) throws Exception {
        return ended.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private static void await(CountDownLatch latch) throws InterruptedException {
        assertTrue(latch.await(WAIT_SECONDS, TimeUnit.SECONDS), "tasks not run: " + latch.getCount());
    }

    private static void fail() {
        throw new IllegalStateException("test exception");
    }

    @Test
    void endlessPriorityTasksStarveNeitherOrdinaryNorScheduledTasks() throws Exception {
        CountDownLatch both = new CountDownLatch(2);
        loop.postPriority(new Runnable() {
            @Override
            public void run() {
                loop.postPriority(this);
            }
        });
        loop.post(() -> {
            both.countDown();
            loop.schedule(loop.nowTicks(), both::countDown);
        });
        CompletableFuture<Throwable> ended = startLoop();
        await(both);
        loop.stop();
        assertEquals(null, await(ended));
    }

    @Test
    void aTaskThatThrowsIsCountedAndTheLoopContinues() throws Exception {
        CountDownLatch others = new CountDownLatch(3);
        CompletableFuture<Throwable> ended = startLoop();
        loop.postPriority(EventLoopTest::fail);
        loop.post(() -> {
            loop.schedule(loop.nowTicks(), EventLoopTest::fail);
            loop.schedule(loop.nowTicks(), others::countDown);
            fail();
        });
        loop.postPriority(others::countDown);
        loop.post(others::countDown);
        await(others);
        assertEquals(3, loop.failedTasks());
        loop.stop();
        assertEquals(null, await(ended));
    }

    @Test
    void anErrorInATaskEndsTheLoop() throws Exception {
        assertErrorEndsLoop(EventLoop::post);
    }

    @Test
    void anErrorOnACachedPoolThreadEndsTheLoop() throws Exception {
        assertErrorEndsLoop(
                (eventLoop, task) -> LoopThreads.cachedPool(eventLoop, "test").execute(task));
    }

    @Test
    void anErrorOnAFixedPoolThreadEndsTheLoop() throws Exception {
        assertErrorEndsLoop(
                (eventLoop, task) -> LoopThreads.fixedPool(eventLoop, "test", 1).execute(task));
    }

    @Test
    void anErrorInAPeriodicTaskEndsTheLoop() throws Exception {
        ScheduledExecutorService timer = LoopThreads.timer(loop, "test");
        AtomicReference<Future<?>> periodicTask = new AtomicReference<>();
        assertErrorEndsLoop(
                (eventLoop, task) -> periodicTask.set(timer.scheduleWithFixedDelay(task, 0, 1, TimeUnit.MILLISECONDS)));
        assertTrue(periodicTask.get().isDone());
    }

    private void assertErrorEndsLoop(BiConsumer<EventLoop, Runnable> executor) throws Exception {
        Error error = new OutOfMemoryError("test error");
        CompletableFuture<Throwable> ended = startLoop();
        executor.accept(loop, () -> {
            throw error;
        });
        assertSame(error, await(ended));
    }
}
