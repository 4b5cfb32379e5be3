package laurelkeel.front;

import java.nio.charset.StandardCharsets;
import java.util.function.IntToLongFunction;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Ticks;
import laurelkeel.front.ingress.ClientRequest;
import laurelkeel.front.ingress.RouteTable;
import laurelkeel.front.upstream.EndpointResponse;
import laurelkeel.wire.HeaderNames;
import laurelkeel.wire.Headers;
import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;
import laurelkeel.wire.MessageBuilder;
import org.jspecify.annotations.Nullable;

/** The protocol of a standalone front node, with the headers of {@link HeaderNames}, which docs/front.md describes. */
final class StandaloneProtocol implements Protocol {
    /** The path to which clients post complaints about a response; the node itself serves it. */
    static final String COMPLAINTS_PATH = "/.laurelkeel/complaints";

    /** The retry delay that is advised to clients whose request was rejected without a decision. */
    private static final long NOT_ACCEPTED_RETRY_AFTER_TICKS = 100 * Ticks.PER_MILLISECOND;

    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int BAD_GATEWAY = 502;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private final RouteTable routes;
    private final IntToLongFunction timeoutTicks;
    private final String senderName;
    private final String healthCheckPath;

    /**
     * Creates the protocol.
     *
     * @param timeoutTicks maps a route index to the route's timeout
     * @param senderName identifies the node and its incarnation to endpoints
     */
    StandaloneProtocol(RouteTable routes, IntToLongFunction timeoutTicks, String senderName, String healthCheckPath) {
        this.routes = routes;
        this.timeoutTicks = timeoutTicks;
        this.senderName = senderName;
        this.healthCheckPath = healthCheckPath;
    }

    @Override
    public boolean isNodeRequest(HttpRequest message) {
        return message.path().equals(COMPLAINTS_PATH) && message.method().equals("POST");
    }

    @Override
    public ClientRequest parseRequest(HttpRequest message) throws HttpProtocolException {
        return ClientRequest.read(message, routes, timeoutTicks);
    }

    @Override
    public HttpResponse badRequest(HttpProtocolException error, @Nullable HttpRequest message) {
        HttpResponse response = plain(error.status(), String.valueOf(error.getMessage()));
        if (error.status() == METHOD_NOT_ALLOWED && message != null) {
            response.headers().add("Allow", routes.allowedMethods(message.path()));
        }
        return response;
    }

    @Override
    public HttpResponse notAccepted(String reason) {
        HttpResponse response = rejected(NOT_ACCEPTED_RETRY_AFTER_TICKS, reason);
        response.headers().add(HeaderNames.ACCEPTED, "no");
        return response;
    }

    /** Returns a 503 response with a header stating that a retry does no harm. */
    @Override
    public HttpResponse rejected(long retryAfterTicks, String reason) {
        HttpResponse response = plain(SERVICE_UNAVAILABLE, reason);
        response.headers().add(HeaderNames.RESULT, "shed").add(HeaderNames.RETRY_SAFETY, "harmless");
        if (retryAfterTicks > 0) {
            response.headers().add(HeaderNames.RETRY_AFTER, roundedUp(retryAfterTicks, Ticks.PER_SECOND));
            response.headers().add(HeaderNames.RETRY_AFTER_MS, roundedUp(retryAfterTicks, Ticks.PER_MILLISECOND));
        }
        return response;
    }

    private static String roundedUp(long ticks, long ticksPerUnit) {
        return Long.toString((ticks + ticksPerUnit - 1) / ticksPerUnit);
    }

    /** Returns a 502 or 504 response, after which the request may or may not have run. */
    @Override
    public HttpResponse failed(boolean late, String reason) {
        HttpResponse response = plain(late ? GATEWAY_TIMEOUT : BAD_GATEWAY, reason);
        response.headers().add(HeaderNames.RESULT, "errored");
        return response;
    }

    /** Returns a response whose body is one line of text. */
    static HttpResponse plain(int status, String text) {
        return new HttpResponse(
                status,
                Headers.of("Content-Type", "text/plain; charset=utf-8"),
                (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public EndpointResponse parseResponse(HttpResponse message) {
        return EndpointResponse.of(message);
    }

    @Override
    public AttemptOutcome unreadableOutcome() {
        return AttemptOutcome.FAILED;
    }

    @Override
    public void writeAttemptHeaders(
            MessageBuilder message, String endpointId, int attempt, long remainingTicks, long timeoutTicks) {
        message.appendHeader("Host", endpointId)
                .appendHeader(HeaderNames.REMAINING, Long.toString(Math.max(0, remainingTicks / Ticks.PER_MILLISECOND)))
                .appendHeader(HeaderNames.ATTEMPT, Integer.toString(attempt))
                .appendHeader(HeaderNames.FRONT, senderName);
    }

    @Override
    public void writeResponseHeaders(MessageBuilder message, String requestId) {
        message.appendHeader(HeaderNames.RESULT, "completed").appendHeader(HeaderNames.RESPONSE_REFERENCE, requestId);
    }

    @Override
    public byte[] healthCheckRequest(MessageBuilder message, String endpointId) {
        return message.appendText("GET ")
                .appendText(healthCheckPath)
                .appendText(" HTTP/1.1\r\n")
                .appendHeader("Host", endpointId)
                .appendText("\r\n")
                .takeBytes();
    }
}
