package laurelkeel.front.controlplane;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import org.jspecify.annotations.Nullable;

/** Consumes a response body part by part and requests the next part only when it is ready for it. */
abstract class SequentialBodySubscriber implements HttpResponse.BodySubscriber<String> {
    private final CompletableFuture<String> body = new CompletableFuture<>();
    private volatile Flow.@Nullable Subscription subscription;

    /**
     * Consumes all bytes of a part.
     *
     * @throws IOException where the body cannot be accepted; it is cancelled then
     */
    abstract void consume(ByteBuffer part) throws IOException;

    /** Called when all parts at hand are consumed; to run the request now or later. */
    abstract void whenReady(Runnable requestMore);

    /** What the body's future gets once all of it is consumed. */
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

    /** Stops the response. */
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
            whenReady(this::requestMore);
        } catch (IOException | RuntimeException | Error e) {
            // the HTTP client would keep it to itself, and the source would be silent for ever
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
