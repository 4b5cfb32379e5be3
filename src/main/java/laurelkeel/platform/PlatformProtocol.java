package laurelkeel.platform;

import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Settings;
import laurelkeel.front.Protocol;
import laurelkeel.front.ingress.ClientRequest;
import laurelkeel.front.upstream.EndpointResponse;
import laurelkeel.options.SocketOptions;
import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpRequest;
import laurelkeel.wire.HttpResponse;
import laurelkeel.wire.MessageBuilder;
import org.jspecify.annotations.Nullable;

/** The platform's HTTP protocol between clients, front node and endpoints; thread-safe. */
final class PlatformProtocol implements Protocol {
    static final String HEALTH_PATH = "/healthz";

    private final ClientRequestParser requestParser;
    private final long notAcceptedRetryAfterTicks;

    PlatformProtocol(Settings settings, SocketOptions options) {
        requestParser = new ClientRequestParser(settings.routes(), options);
        Settings.Capabilities capabilities = settings.capabilities();
        notAcceptedRetryAfterTicks = capabilities.retryAfter() ? capabilities.maxRetryAfterTicks() : 0;
    }

    /** Returns the index of the route of this name; negative if there is none. */
    int routeIndex(String name) {
        return requestParser.routeIndex(name);
    }

    @Override
    public boolean isNodeRequest(HttpRequest request) {
        return request.path().equals(HEALTH_PATH);
    }

    @Override
    public ClientRequest parseRequest(HttpRequest request) throws HttpProtocolException {
        return requestParser.parse(request);
    }

    @Override
    public HttpResponse badRequest(HttpProtocolException reason, @Nullable HttpRequest request) {
        return ClientResponses.badRequest(reason);
    }

    @Override
    public HttpResponse notAccepted(String reason) {
        return ClientResponses.rejected(notAcceptedRetryAfterTicks, reason);
    }

    @Override
    public HttpResponse rejected(long retryAfterTicks, String reason) {
        return ClientResponses.rejected(retryAfterTicks, reason);
    }

    @Override
    public HttpResponse failed(boolean timedOut, String reason) {
        return ClientResponses.failed(timedOut, reason);
    }

    @Override
    public EndpointResponse parseResponse(HttpResponse response) {
        return EndpointMessages.parse(response);
    }

    /**
     * Treats an unreadable response as a lost connection: the attempt may have been executed, and the response does not
     * count against the endpoint's build, since endpoints of any build may send such bytes.
     */
    @Override
    public AttemptOutcome unreadableOutcome() {
        return AttemptOutcome.CONNECTION_LOST;
    }

    @Override
    public void writeAttemptHeaders(
            MessageBuilder message, String endpointId, int attempt, long remainingTicks, long timeoutTicks) {
        EndpointMessages.writeAttemptHeaders(message, timeoutTicks);
    }

    /** Does nothing, since the platform's responses carry no headers of the front node. */
    @Override
    public void writeResponseHeaders(MessageBuilder message, String requestId) {}

    @Override
    public byte[] healthCheckRequest(MessageBuilder message, String endpointId) {
        return EndpointMessages.healthCheckRequest(message);
    }
}
