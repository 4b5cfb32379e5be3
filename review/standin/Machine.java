package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** A machine: answers each request after a service time with a body made for it. */
class Machine extends Server {
    private final Record record;
    private final String id;
    private final int serviceMillis;
    private final AtomicInteger received = new AtomicInteger();
    private volatile boolean leaving;

    Machine(Record record, String id, int serviceMillis) throws IOException {
        this.record = record;
        this.id = id;
        this.serviceMillis = serviceMillis;
    }

    String id() {
        return id;
    }

    int received() {
        return received.get();
    }

    /** From now on it turns away new requests, as a machine that is draining does. */
    void leave() {
        leaving = true;
    }

    /** Returns the body of the good answer to a request. */
    static String bodyFor(String requestId) {
        return "answer-for-" + requestId + "-whole";
    }

    @Override
    void serve(Socket socket) throws Exception {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
            String requestId = request.header("X-Correlation-Id");
            received.incrementAndGet();
            onRequest(request);
            if (leaving) {
                record.line("machine " + id + " received " + requestId + ", turned away: draining");
                write(socket, "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            Thread.sleep(serviceMillis);
            record.line("machine " + id + " ran " + requestId);
            answer(socket, in, requestId);
        }
    }

    void onRequest(Http.Message request) {}

    /**
     * Writes the answer to a request that has run.
     *
     * @param in the further input of the connection
     */
    void answer(Socket socket, InputStream in, String requestId) throws Exception {
        write(socket, goodAnswer(requestId));
    }

    static String goodAnswer(String requestId) {
        String body = bodyFor(requestId);
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(Http.bytes(text));
    }

    /** Returns its entry in discovery's form. */
    String entry(String state, int build) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + address()
                + "\",\"zone\":\"dub-north\",\"kind\":\"std-1\",\"cell\":1,\"state\":\"" + state
                + "\",\"weight\":1.0,\"started_ms\":0,\"revision_no\":" + build + "}";
    }
}
