package laurelkeel.front;

import laurelkeel.api.Event;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.ingress.ClientConnection;
import laurelkeel.front.ingress.ClientRequest;
import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpRequest;

/**
 * Accepts the requests of clients: each becomes active or is answered immediately. Not thread-safe; used on the
 * event loop's thread.
 */
final class RequestIntake {
    private final NodeComponents components;
    private final EventLoop loop;
    private final NodeLifecycle lifecycle;
    private final AcceptedRequestTable requests;
    private final RequestTotals totals;
    private final FinalAnswerGuard guard;
    private final ResponseWriter responses;

    RequestIntake(
            NodeComponents components,
            NodeLifecycle lifecycle,
            AcceptedRequestTable requests,
            RequestTotals totals,
            FinalAnswerGuard guard,
            ResponseWriter responses) {
        this.components = components;
        this.lifecycle = lifecycle;
        this.requests = requests;
        this.totals = totals;
        this.guard = guard;
        this.responses = responses;
        loop = components.loop();
    }

    /**
     * Accepts a request, once the earlier requests on its connection are answered.
     *
     * @param arrivedAtTicks when its last byte was read; the client's remaining time counts from then
     */
    void accept(ClientConnection connection, ClientRequest clientRequest, long arrivedAtTicks) {
        if (!requests.reserveClientRequestId(clientRequest)) {
            rejectDuplicate(connection, clientRequest);
            return;
        }
        long now = loop.nowTicks();
        long deadline = Math.min(arrivedAtTicks + clientRequest.remainingTicks(), lifecycle.latestAnswerTicks());
        AcceptedRequest request = requests.create(connection, clientRequest, now, deadline);
        connection.setCurrentToken(request);
        if (request.isExpired(now)) {
            responses.rejectExpired(request);
            return;
        }
        totals.requestAccepted();
        requests.add(request);
        guard.watch(request, () -> responses.failOverdue(request));
        components.inbox().add(receivedEvent(request));
    }

    /**
     * Rejects a request whose id an active request has, since ids are unique and the answer to one must not serve both.
     */
    private void rejectDuplicate(ClientConnection connection, ClientRequest clientRequest) {
        connection.setCurrentToken(null);
        components.ingress().releaseBody(clientRequest);
        HttpProtocolException conflict = new HttpProtocolException(409, "a req with this id is open");
        components
                .ingress()
                .answer(
                        connection,
                        clientRequest.closesConnection(),
                        components.protocol().badRequest(conflict, null));
    }

    private static Event.RequestReceived receivedEvent(AcceptedRequest request) {
        ClientRequest clientRequest = request.clientRequest();
        return new Event.RequestReceived(
                request.id(),
                clientRequest.route(),
                clientRequest.tenant(),
                clientRequest.partitionKey(),
                request.deadlineTicks(),
                clientRequest.expectedWorkMillis(),
                clientRequest.clientRetry());
    }

    /** Answers a message that is addressed to the node itself. */
    void answerNodeRequest(ClientConnection connection, HttpRequest message) {
        connection.setCurrentToken(null);
        components
                .ingress()
                .answer(
                        connection,
                        message.closesConnection(),
                        components.services().answerNodeRequest(message, lifecycle.health()));
    }
}
