package laurelkeel.front.controlplane;

import java.io.ByteArrayOutputStream;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A body cut into lines as it comes, or gathered whole, each to a bound: a peer that never ends its line would else
 * take all memory. What follows is asked for only when the last was dealt with.
 */
final class LineBodySubscriber implements HttpResponse.BodySubscriber<String> {
    /** A full list is one line: some 150 bytes a machine, for a hundred thousand machines. */
    static final int MOST = 16 << 20;

    private final Consumer<String> each;
    private final Consumer<Runnable> then;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final CompletableFuture<String> whole = new CompletableFuture<>();
    private Flow.Subscription subscription;

    private LineBodySubscriber(Consumer<String> each, Consumer<Runnable> then) {
        this.each = each;
        this.then = then;
    }

    /** @param then runs what asks for more, once all that was heard so far is dealt with */
    static LineBodySubscriber lines(Consumer<String> each, Consumer<Runnable> then) {
        return new LineBodySubscriber(each, then);
    }

    /** Asks for a whole body as text, in so many milliseconds; past them the answer is cancelled. */
    static CompletableFuture<HttpResponse<String>> ask(
            HttpClient http, HttpRequest ask, ScheduledExecutorService timer, long ms) {
        CompletableFuture<HttpResponse<String>> answer =
                http.sendAsync(ask, i -> new LineBodySubscriber(null, Runnable::run));
        // the time set in a request ends with the headers: a body may come for ever
        ScheduledFuture<?> limit = timer.schedule(() -> answer.cancel(true), ms, TimeUnit.MILLISECONDS);
        answer.whenComplete((r, failure) -> limit.cancel(false));
        return answer;
    }

    @Override
    public CompletionStage<String> getBody() {
        return whole;
    }

    @Override
    public void onSubscribe(Flow.Subscription s) {
        subscription = s;
        s.request(1);
    }

    void cancel() {
        if (subscription != null) {
            subscription.cancel();
        }
    }

    @Override
    public void onNext(List<ByteBuffer> parts) {
        try {
            for (ByteBuffer part : parts) {
                while (part.hasRemaining()) {
                    take(part.get());
                }
            }
            then.accept(() -> subscription.request(1));
        } catch (RuntimeException | Error e) {
            // the client would keep it to itself, and the source would be silent for ever
            subscription.cancel();
            onError(e);
        }
    }

    private void take(byte b) {
        if (each != null && b == '\n') {
            String text = line.toString(StandardCharsets.UTF_8);
            line.reset();
            each.accept(text);
        } else if (line.size() < MOST) {
            line.write(b);
        } else {
            throw new IllegalStateException("a line or body of over " + MOST + " bytes");
        }
    }

    @Override
    public void onError(Throwable t) {
        whole.completeExceptionally(t);
    }

    @Override
    public void onComplete() {
        whole.complete(line.toString(StandardCharsets.UTF_8));
    }
}
