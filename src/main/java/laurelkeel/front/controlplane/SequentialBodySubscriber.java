package laurelkeel.front.controlplane;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import org.jspecify.annotations.Nullable;

/** Consumes a response body part by part and requests the next part only when ready for it. */
abstract class SequentialBodySubscriber implements HttpResponse.BodySubscriber<String> {
    private final CompletableFuture<String> body = new CompletableFuture<>();
    private volatile Flow.@Nullable Subscription subscription;

    /**
     * Consumes all bytes of a part.
     *
     * @throws IOException if the body is not acceptable; the response is then cancelled
     */
    abstract void consume(ByteBuffer part) throws IOException;

    /** Called when all received parts are consumed; must run {@code requestMore} now or later. */
    abstract void onPartsConsumed(Runnable requestMore);

    /** Returns the value that completes the future of the body after the last part. */
    abstract String result();

    @Override
    public CompletionStage<String> getBody() {
        return body;
    }

    @Override
    public void onSubscribe(Flow.Subscription newSubscription) {
        subscription = newSubscription;
        newSubscription.request(1);
    }

    /** Cancels the response. */
    void cancel() {
        Flow.Subscription current = subscription;
        if (current != null) {
            current.cancel();
        }
    }

    private void requestMore() {
        Flow.Subscription current = subscription;
        if (current != null) {
            current.request(1);
        }
    }

    @Override
    public void onNext(List<ByteBuffer> parts) {
        try {
            for (ByteBuffer part : parts) {
                consume(part);
            }
            onPartsConsumed(this::requestMore);
        } catch (IOException | RuntimeException | Error e) {
            // the HTTP client would swallow the exception, and nothing more would ever arrive from the source
            cancel();
            onError(e);
        }
    }

    @Override
    public void onError(Throwable failure) {
        body.completeExceptionally(failure);
    }

    @Override
    public void onComplete() {
        body.complete(result());
    }
}
