package laurelkeel.front.ingress;

import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;
import org.jspecify.annotations.Nullable;

/** Interprets the requests of a client protocol and builds the responses to them. Thread-safe; called on any thread. */
public interface ClientProtocol {
    /** Whether a request is addressed to the node itself, not to a route. */
    boolean isNodeRequest(HttpRequest request);

    /**
     * Interprets a request.
     *
     * @throws HttpProtocolException with the status and text of the response if the request is invalid
     */
    ClientRequest parseRequest(HttpRequest request) throws HttpProtocolException;

    /**
     * Returns the response to an invalid request.
     *
     * @param request null if it could not be parsed
     */
    HttpResponse badRequest(HttpProtocolException failure, @Nullable HttpRequest request);

    /** Returns the response to a request that was rejected before any routing decision. */
    HttpResponse notAccepted(String reason);

    /**
     * Returns the response to a request that was shed; it is safe to retry.
     *
     * @param retryAfterTicks the advised delay before a retry; 0 for no advice
     */
    HttpResponse rejected(long retryAfterTicks, String reason);

    /**
     * Returns the response to a request that failed and may have been executed.
     *
     * @param timedOut whether it failed because its deadline passed
     */
    HttpResponse failed(boolean timedOut, String reason);
}
