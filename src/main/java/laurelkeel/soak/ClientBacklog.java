package laurelkeel.soak;

import java.io.IOException;
import java.util.function.Consumer;

/** What a client sends on one connection before it leaves: the input that the node may not have read by then. */
enum ClientBacklog {
    /** A single request. */
    ONE_REQUEST(1, false),
    /** More small requests than a node reads before it has answered some. */
    SIX_REQUESTS(6, false),
    /** Hundreds of small requests at once. */
    HUNDREDS(300, false),
    /** More small requests than the kernel's buffers hold. */
    THOUSANDS(30_000, false),
    /** Requests whose bodies have nearly the maximum size. */
    LARGE_BODIES(24, true),
    /** Some requests, and the first half of one with a large body. */
    INSIDE_BODY(6, false) {
        @Override
        void send(String idPrefix, Consumer<String> idListener, RequestSink sink) throws IOException {
            super.send(idPrefix, idListener, sink);
            String partial =
                    new SoakRequest(idPrefix + "partial", false, "k", TIMEOUT_SECONDS, SoakRequest.LARGE_BODY).text();
            sink.write(partial.substring(0, partial.length() - SoakRequest.LARGE_BODY.length() / 2));
        }
    },
    /** Requests that the node answers at once, whose responses are never read, and some others behind them. */
    UNREAD_RESPONSES(6, false) {
        @Override
        void send(String idPrefix, Consumer<String> idListener, RequestSink sink) throws IOException {
            sink.write(SoakRequest.HEALTH_CHECK.repeat(HEALTH_REQUESTS));
            super.send(idPrefix, idListener, sink);
        }
    };

    static final double TIMEOUT_SECONDS = 2;
    private static final int HEALTH_REQUESTS = 3;

    /** Receives the bytes that a client sends. */
    interface RequestSink {
        void write(String text) throws IOException;
    }

    private final int requests;
    private final boolean large;

    ClientBacklog(int requests, boolean large) {
        this.requests = requests;
        this.large = large;
    }

    /**
     * Sends the requests.
     *
     * @param idListener is told the id of each request before it is sent
     */
    void send(String idPrefix, Consumer<String> idListener, RequestSink sink) throws IOException {
        for (int i = 0; i < requests; i++) {
            String id = idPrefix + i;
            idListener.accept(id);
            sink.write(
                    new SoakRequest(id, !large, "k" + i, TIMEOUT_SECONDS, large ? SoakRequest.LARGE_BODY : "").text());
        }
    }
}
