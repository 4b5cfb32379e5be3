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

/** The platform's HTTP protocol on both sides of a front node; thread-safe. */
final class PlatformProtocol implements Protocol {
    static final String HEALTH_PATH = "/healthz";

    private final ClientRequestParser requests;
    private final long retryAfterWhenNotAcceptedTicks;

    PlatformProtocol(Settings settings, SocketOptions options) {
        requests = new ClientRequestParser(settings.routes(), options);
        Settings.Capabilities capabilities = settings.capabilities();
        retryAfterWhenNotAcceptedTicks = capabilities.retryAfter() ? capabilities.maxRetryAfterTicks() : 0;
    }

    /** The index of a route by its name; below 0 where there is none. */
    int routeIndex(String name) {
        return requests.routeIndex(name);
    }

    @Override
    public boolean isNodeRequest(HttpRequest request) {
        return request.path().equals(HEALTH_PATH);
    }

    @Override
    public ClientRequest parseRequest(HttpRequest request) throws HttpProtocolException {
        return requests.parse(request);
    }

    @Override
    public HttpResponse badRequest(HttpProtocolException reason, @Nullable HttpRequest request) {
        return ClientResponses.badRequest(reason);
    }

    @Override
    public HttpResponse notAccepted(String reason) {
        return ClientResponses.rejected(retryAfterWhenNotAcceptedTicks, reason);
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

    /** The attempt may have run. It does not count against the endpoint's build: any endpoint may send such bytes. */
    @Override
    public AttemptOutcome unreadableOutcome() {
        return AttemptOutcome.CONNECTION_LOST;
    }

    @Override
    public void writeAttemptHeaders(
            MessageBuilder message, String endpointId, int attempt, long remainingTicks, long timeoutTicks) {
        EndpointMessages.writeAttemptHeaders(message, timeoutTicks);
    }

    /** Adds nothing: the platform's responses carry no headers of the front node. */
    @Override
    public void writeResponseHeaders(MessageBuilder message, String requestId) {}

    @Override
    public byte[] healthCheckRequest(MessageBuilder message, String endpointId) {
        return EndpointMessages.healthCheckRequest(message);
    }
}
