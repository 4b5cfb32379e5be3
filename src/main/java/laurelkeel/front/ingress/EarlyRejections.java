package laurelkeel.front.ingress;

import java.util.concurrent.atomic.AtomicInteger;
import laurelkeel.wire.HttpResponse;

/**
 * Builds and counts the responses to requests and connections that are rejected before any routing decision.
 *
 * <p>Thread-safe.
 */
final class EarlyRejections {
    private final ClientProtocol protocol;
    private final AtomicInteger count = new AtomicInteger();

    EarlyRejections(ClientProtocol protocol) {
        this.protocol = protocol;
    }

    /** Counts a rejection and returns its response. */
    HttpResponse reject(String reason, boolean closesConnection) {
        count.incrementAndGet();
        HttpResponse response = protocol.notAccepted(reason);
        if (closesConnection) {
            response.headers().add("Connection", "close");
        }
        return response;
    }

    /** Returns the number of rejections since the start. */
    int count() {
        return count.get();
    }
}
