package laurelkeel.front.ingress;

import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;
import org.jspecify.annotations.Nullable;

/** Interprets the requests of one protocol's clients and builds the responses they get. Thread-safe; called on any thread. */
public interface ClientProtocol {
    /** Whether a request is for the node itself and names no route. */
    boolean isNodeRequest(HttpRequest request);

    /**
     * Interprets a request.
     *
     * @throws HttpProtocolException with the status and text of the response where the request is invalid
     */
    ClientRequest parseRequest(HttpRequest request) throws HttpProtocolException;

    /**
     * Returns the response to an invalid request.
     *
     * @param request null where it could not be read
     */
    HttpResponse badRequest(HttpProtocolException failure, @Nullable HttpRequest request);

    /** Returns the response to a request that was rejected before any decision about it. */
    HttpResponse notAccepted(String reason);

    /**
     * Returns the response to a request that was shed; a retry is harmless.
     *
     * @param retryAfterTicks the advised wait; 0 for no advice
     */
    HttpResponse rejected(long retryAfterTicks, String reason);

    /**
     * Returns the response to a request that failed; it may have been executed.
     *
     * @param timedOut whether it failed because its time was up
     */
    HttpResponse failed(boolean timedOut, String reason);
}
