package laurelkeel.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;

class EventLoopTest {
    private EventLoop loop = new EventLoop(() -> System.nanoTime() / 100_000);

    private CompletableFuture<Throwable> running() {
        CompletableFuture<Throwable> ended = new CompletableFuture<>();
        Thread t = new Thread(() -> {
            try {
                loop.run(() -> false);
                ended.complete(null);
            } catch (RuntimeException | Error e) {
                ended.complete(e);
            }
        });
        t.setDaemon(true);
        t.start();
        return ended;
    }

    @Test
    void newsWithoutEndKeepsNeitherTrafficNorAlarmsFromTheirTurn() throws Exception {
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
        CompletableFuture<Throwable> ended = running();
        assertTrue(both.await(10, TimeUnit.SECONDS), "left waiting: " + both.getCount());
        loop.stop();
        assertEquals(null, ended.get(10, TimeUnit.SECONDS));
    }

    /** What one task meets is no reason to drop what all others hold; an Error is. */
    @Test
    void aTaskOrAnAlarmThatFailsEndsNothingAndIsCounted() throws Exception {
        CountDownLatch after = new CountDownLatch(3);
        CompletableFuture<Throwable> ended = running();
        loop.postPriority(() -> {
            throw new IllegalStateException("made");
        });
        loop.post(() -> {
            loop.schedule(loop.nowTicks(), () -> {
                throw new IllegalStateException("made");
            });
            loop.schedule(loop.nowTicks(), after::countDown);
            throw new IllegalStateException("made");
        });
        loop.postPriority(after::countDown);
        loop.post(after::countDown);
        assertTrue(after.await(10, TimeUnit.SECONDS), "left waiting: " + after.getCount());
        assertEquals(3, loop.failedTasks());
        loop.stop();
        assertEquals(null, ended.get(10, TimeUnit.SECONDS));
        loop = new EventLoop(() -> System.nanoTime() / 100_000);
        endsWith(EventLoop::post);
    }

    /** What each kind of thread beside the loop throws ends the loop with it. */
    private void endsWith(BiConsumer<EventLoop, Runnable> runs) throws Exception {
        Error made = new OutOfMemoryError("made");
        CompletableFuture<Throwable> ended = running();
        runs.accept(loop, () -> {
            throw made;
        });
        assertSame(made, ended.get(10, TimeUnit.SECONDS));
    }

    @Test
    void aSocketThreadThatDiesEndsTheLoop() throws Exception {
        endsWith((l, r) -> LoopThreads.cachedPool(l, "t").execute(r));
    }

    @Test
    void aNewsThreadThatDiesEndsTheLoop() throws Exception {
        endsWith((l, r) -> LoopThreads.fixedPool(l, "t", 1).execute(r));
    }

    @Test
    void aTimedTaskThatThrowsEndsTheLoop() throws Exception {
        ScheduledExecutorService timer = LoopThreads.timer(loop, "t");
        endsWith((l, r) -> timer.scheduleWithFixedDelay(r, 0, 1, TimeUnit.MILLISECONDS));
    }
}
