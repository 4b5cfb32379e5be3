package laurelkeel.front;

import java.util.Objects;
import laurelkeel.api.Event;
import laurelkeel.api.Ticks;
import laurelkeel.front.ingress.ClientRequest;
import laurelkeel.front.ingress.ClientState;
import laurelkeel.front.ingress.Ingress;
import laurelkeel.front.upstream.EndpointResponse;
import laurelkeel.wire.ForwardedMessage;
import laurelkeel.wire.HttpResponse;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes and counts the final answers of requests, and removes finished requests. Not thread-safe; called on the event
 * loop's thread.
 */
final class ResponseWriter {
    private static final Logger LOG = LoggerFactory.getLogger(ResponseWriter.class);

    private final NodeComponents components;
    private final Ingress ingress;
    private final AcceptedRequestTable requests;
    private final RequestTotals totals;
    private final FinalAnswerGuard guard;

    ResponseWriter(
            NodeComponents components, AcceptedRequestTable requests, RequestTotals totals, FinalAnswerGuard guard) {
        this.components = components;
        this.requests = requests;
        this.totals = totals;
        this.guard = guard;
        ingress = components.ingress();
    }

    /**
     * Writes a final answer that the node itself generates.
     *
     * @param request null if the request is not active any more; nothing is written then
     */
    void answer(@Nullable AcceptedRequest request, RequestOutcome outcome, HttpResponse response) {
        if (request == null || !guard.permitsAnswer(request)) {
            return;
        }
        LOG.info(
                "request {} ({}) on connection {}: {} after {} ms and {} attempts",
                request.id(),
                request.clientRequest().clientRequestId(),
                request.connection().id(),
                outcome,
                millisSinceAccepted(request),
                request.attempts().size());
        close(request, outcome);
        ingress.answer(request.connection(), request.clientRequest().closesConnection(), response);
        removeIfFinished(request);
    }

    private double millisSinceAccepted(AcceptedRequest request) {
        return (components.loop().nowTicks() - request.acceptedAtTicks()) / (double) Ticks.PER_MILLISECOND;
    }

    /** Forwards the response of a completed attempt as the final answer. */
    void forward(AcceptedRequest request, EndpointResponse response) {
        ForwardedMessage message = Objects.requireNonNull(response.forwarded(), "a completed response is forwarded");
        close(request, RequestOutcome.COMPLETED);
        components.protocol().writeResponseHeaders(components.messageBuilder(), request.id());
        ingress.forward(
                request.connection(),
                request.clientRequest().closesConnection(),
                message,
                components.messageBuilder(),
                () -> components.pools().releaseBody(response));
    }

    /** Rejects a request whose deadline passed while it waited on its connection; it was never in the table. */
    void rejectExpired(AcceptedRequest request) {
        ClientRequest clientRequest = request.clientRequest();
        request.markAnswered();
        requests.releaseClientRequestId(clientRequest);
        ingress.releaseBody(clientRequest);
        totals.requestAccepted();
        totals.answered(RequestOutcome.REJECTED);
        components.services().onAnswered(RequestOutcome.REJECTED, 0);
        ingress.answer(
                request.connection(),
                clientRequest.closesConnection(),
                components.protocol().rejected(0, "its time was up before its turn came"));
    }

    /** Fails a request on which the decider made no decision before its deadline. */
    void failOverdue(AcceptedRequest request) {
        if (request.isAnswered()) {
            return;
        }
        LOG.error("no decision on request {} before its deadline; the node fails it", request.id());
        components.services().onOverdue(request.clientRequest().route());
        answer(
                request,
                RequestOutcome.FAILED,
                components.protocol().failed(true, "errored: no answer in time; the req may have run"));
        components.inbox().add(new Event.ClientDisconnected(request.id()));
    }

    /** Ends a request for which no attempt may begin, because its client may have disconnected behind input that is not read. */
    void failUnread(AcceptedRequest request) {
        boolean mayHaveRun = request.attempts().size() > 1;
        answer(
                request,
                mayHaveRun ? RequestOutcome.FAILED : RequestOutcome.REJECTED,
                mayHaveRun
                        ? components.protocol().failed(false, ClientState.UNREAD_REASON + "; the req may have run")
                        : components.protocol().rejected(0, ClientState.UNREAD_REASON));
        components.inbox().add(new Event.ClientDisconnected(request.id()));
    }

    /** Closes a request whose client has disconnected, so that no answer is pending any more. */
    void clientDisconnected(AcceptedRequest request) {
        if (request.isAnswered()) {
            return;
        }
        close(request, RequestOutcome.CLIENT_DISCONNECTED);
        components.inbox().add(new Event.ClientDisconnected(request.id()));
        removeIfFinished(request);
    }

    private void close(AcceptedRequest request, RequestOutcome outcome) {
        request.markAnswered();
        request.cancelOverdueTimer();
        totals.answered(outcome);
        components.services().onAnswered(outcome, components.loop().nowTicks() - request.acceptedAtTicks());
    }

    /** Removes a request that is answered and whose attempts have all ended. */
    void removeIfFinished(AcceptedRequest request) {
        if (request.isFinished() && requests.remove(request)) {
            ingress.releaseBody(request.clientRequest());
        }
    }
}
