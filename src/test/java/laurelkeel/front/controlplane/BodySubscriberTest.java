package laurelkeel.front.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Flow;
import laurelkeel.wire.LineTooLongException;
import org.junit.jupiter.api.Test;

/** Response bodies are consumed at the consumer's pace and up to a maximum size. */
class BodySubscriberTest {
    private static final int PART_BYTES = 1 << 20;

    private final List<String> lines = new ArrayList<>();
    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private final FakeSubscription subscription = new FakeSubscription();

    private static final class FakeSubscription implements Flow.Subscription {
        private long requested;
        private boolean cancelled;

        @Override
        public void request(long n) {
            requested += n;
        }

        @Override
        public void cancel() {
            cancelled = true;
        }
    }

    private static List<ByteBuffer> part(String text) {
        return List.of(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    private LineBodySubscriber lineSubscriber() {
        LineBodySubscriber subscriber = new LineBodySubscriber(lines::add, tasks::add);
        subscriber.onSubscribe(subscription);
        return subscriber;
    }

    @Test
    void linesArePassedOnAndMoreIsRequestedOnlyWhenTheExecutorRunsTheRequest() {
        LineBodySubscriber subscriber = lineSubscriber();
        assertEquals(1, subscription.requested);
        subscriber.onNext(part("one\ntw"));
        assertEquals(List.of("one"), lines);
        assertEquals(1, subscription.requested);
        tasks.remove().run();
        assertEquals(2, subscription.requested);
        subscriber.onNext(part("o\n"));
        assertEquals(List.of("one", "two"), lines);
    }

    @Test
    void aLineOverTheMaximumLengthCancelsTheResponse() {
        LineBodySubscriber subscriber = lineSubscriber();
        String part = "x".repeat(PART_BYTES);
        for (int bytes = 0; bytes < LineBodySubscriber.MAX_LINE_BYTES; bytes += PART_BYTES) {
            subscriber.onNext(part(part));
        }
        assertTrue(!subscription.cancelled);
        subscriber.onNext(part("x"));
        assertTrue(subscription.cancelled);
        CompletionException failure = assertThrows(
                CompletionException.class,
                () -> subscriber.getBody().toCompletableFuture().join());
        assertTrue(failure.getCause() instanceof LineTooLongException);
    }

    @Test
    void anExceptionInTheLineConsumerCancelsTheResponse() {
        RuntimeException thrown = new IllegalStateException("thrown by the test");
        LineBodySubscriber subscriber = new LineBodySubscriber(
                line -> {
                    throw thrown;
                },
                tasks::add);
        subscriber.onSubscribe(subscription);
        subscriber.onNext(part("one\n"));
        assertTrue(subscription.cancelled);
        assertEquals(
                thrown,
                assertThrows(
                                CompletionException.class,
                                () -> subscriber.getBody().toCompletableFuture().join())
                        .getCause());
    }

    @Test
    void allPartsOfATextAreCollected() {
        TextBodySubscriber subscriber = new TextBodySubscriber();
        subscriber.onSubscribe(subscription);
        subscriber.onNext(part("one\ntw"));
        subscriber.onNext(part("o"));
        subscriber.onComplete();
        assertEquals("one\ntwo", subscriber.getBody().toCompletableFuture().join());
        assertEquals(3, subscription.requested);
    }

    @Test
    void aTextOverTheMaximumSizeCancelsTheResponse() {
        TextBodySubscriber subscriber = new TextBodySubscriber();
        subscriber.onSubscribe(subscription);
        String part = "x".repeat(PART_BYTES);
        for (int bytes = 0; bytes < LineBodySubscriber.MAX_LINE_BYTES; bytes += PART_BYTES) {
            subscriber.onNext(part(part));
        }
        assertTrue(!subscription.cancelled);
        subscriber.onNext(part("x"));
        assertTrue(subscription.cancelled);
        assertTrue(subscriber.getBody().toCompletableFuture().isCompletedExceptionally());
    }
}
