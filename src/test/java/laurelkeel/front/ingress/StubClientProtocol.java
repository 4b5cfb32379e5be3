package laurelkeel.front.ingress;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;

/**
 * A client protocol whose requests are either all addressed to the node itself or all for routes, and whose responses have only
 * a status. It never interprets a request. Thread-safe.
 */
class StubClientProtocol implements ClientProtocol {
    /** The reasons passed to {@link #notAccepted}, in the order of the calls. */
    final List<String> rejectionReasons = new CopyOnWriteArrayList<>();

    private final boolean nodeRequests;

    /** @param nodeRequests whether all requests are addressed to the node itself */
    StubClientProtocol(boolean nodeRequests) {
        this.nodeRequests = nodeRequests;
    }

    @Override
    public boolean isNodeRequest(HttpRequest request) {
        return nodeRequests;
    }

    @Override
    public ClientRequest parseRequest(HttpRequest request) {
        throw new AssertionError("no request is to be interpreted in this test");
    }

    @Override
    public HttpResponse badRequest(HttpProtocolException failure, HttpRequest request) {
        return new HttpResponse(failure.status(), new Headers(), new byte[0]);
    }

    @Override
    public HttpResponse notAccepted(String reason) {
        rejectionReasons.add(reason);
        return new HttpResponse(503, new Headers(), new byte[0]);
    }

    @Override
    public HttpResponse rejected(long retryAfterTicks, String reason) {
        return notAccepted(reason);
    }

    @Override
    public HttpResponse failed(boolean timedOut, String reason) {
        return new HttpResponse(502, new Headers(), new byte[0]);
    }
}
