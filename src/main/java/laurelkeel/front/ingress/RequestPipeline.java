package laurelkeel.front.ingress;

import laurelkeel.eventloop.EventLoop;
import laurelkeel.wire.ByteBudget;
import laurelkeel.wire.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * Handles the messages of each connection in the order in which they arrived, with one request in progress at a time.
 *
 * <p>Not thread-safe; called on the event loop's thread.
 */
final class RequestPipeline {
    private static final String CLIENT_ENDED = "its client ended the connection";

    private final IngressSettings settings;
    private final ClientProtocol protocol;
    private final EventLoop loop;
    private final IngressListener listener;
    private final EarlyRejections rejections;
    private final ByteBudget bodyBudget;

    RequestPipeline(
            IngressSettings settings,
            ClientProtocol protocol,
            EventLoop loop,
            IngressListener listener,
            EarlyRejections rejections,
            ByteBudget bodyBudget) {
        this.settings = settings;
        this.protocol = protocol;
        this.loop = loop;
        this.listener = listener;
        this.rejections = rejections;
        this.bodyBudget = bodyBudget;
    }

    /** Queues a message from a connection, and handles it if no earlier request there is in progress. */
    void received(ClientConnection connection, PipelinedMessage message) {
        if (connection.discardsInput()) {
            discard(message);
            return;
        }
        connection.enqueue(message);
        startNext(connection);
    }

    /**
     * Handles the queued messages of a connection until a request is in progress there, a response is still to be written, or the
     * queue is empty. Closes the connection if its client has ended its output and everything is answered.
     */
    void startNext(ClientConnection connection) {
        while (connection.isReadyForNext()) {
            PipelinedMessage next = connection.pollWaiting();
            if (next != null) {
                start(connection, next);
            }
        }
        connection.ifNextAwaitsWrite(() -> loop.post(() -> startNext(connection)));
        if (connection.isFinished()) {
            connection.markClosed();
            connection.closeOnFlush();
        }
    }

    private void start(ClientConnection connection, PipelinedMessage message) {
        connection.setHeadRequest(false);
        if (message instanceof PipelinedMessage.RoutedRequest routed) {
            startRequest(connection, routed);
        } else if (message instanceof PipelinedMessage.NodeRequest nodeRequest) {
            startNodeRequest(connection, nodeRequest);
        } else if (message instanceof PipelinedMessage.Rejected rejected) {
            connection.setHeadRequest(rejected.headRequest());
            respond(connection, rejected.response(), rejected.closesConnection());
        }
    }

    private void startNodeRequest(ClientConnection connection, PipelinedMessage.NodeRequest message) {
        if (connection.clientState() == ClientState.ENDED) {
            respond(connection, protocol.notAccepted(CLIENT_ENDED), false);
            return;
        }
        connection.setRequestInProgress(true);
        listener.onNodeRequest(connection, message.request());
    }

    private void startRequest(ClientConnection connection, PipelinedMessage.RoutedRequest message) {
        ClientRequest request = message.request();
        connection.setHeadRequest(request.headRequest());
        if (connection.clientState() == ClientState.ENDED) {
            request.releaseBody(bodyBudget);
            respond(connection, protocol.notAccepted(CLIENT_ENDED), false);
            return;
        }
        String rejection = findReasonToReject(connection);
        if (rejection != null) {
            request.releaseBody(bodyBudget);
            boolean last = listener.isClosingConnections() || request.closesConnection();
            respond(connection, rejections.reject(rejection, last), last);
            return;
        }
        connection.setRequestInProgress(true);
        // the time of arrival, not the current time: the client was already waiting while the request was queued
        listener.onRequest(connection, request, message.arrivedTicks());
    }

    private @Nullable String findReasonToReject(ClientConnection connection) {
        if (listener.activeRequests() >= settings.maxOpenRequests()
                || loop.queuedTasks() >= settings.maxQueuedTasks()) {
            return "this front is full";
        }
        if (connection.clientState() == ClientState.INPUT_UNREAD) {
            // the end of the connection may be among the unread input, so no request of this client may be sent on
            return ClientState.UNREAD_REASON;
        }
        boolean stopping = listener.hasEnded() || (listener.isClosingConnections() && settings.lameDuckTicks() == 0);
        return stopping ? "this front is stopping" : null;
    }

    /** Writes a response that this node has generated without starting the request. */
    private void respond(ClientConnection connection, HttpResponse response, boolean last) {
        connection.write(response, last);
        answered(connection);
    }

    /** Counts a response that was passed to the session. */
    void answered(ClientConnection connection) {
        // the part of a request that held input ends with brings no message, after which a finished connection would be
        // closed
        connection.requestAnswered(() -> loop.post(() -> startNext(connection)));
    }

    /**
     * Answers the request in progress of a client that has ended its output, and the queued ones without starting any. Such a
     * client cannot be distinguished from one that has left, but it may still read the responses. Called after the messages that
     * were read before the end have been queued.
     */
    void clientClosedOutput(ClientConnection connection) {
        if (connection.isRequestInProgress() && connection.currentToken() != null) {
            listener.onDisconnect(connection.currentToken());
            connection.setCurrentToken(null);
            connection.setRequestInProgress(false);
            respond(connection, protocol.failed(false, CLIENT_ENDED + "; the req may have run"), false);
        }
        connection.markInputClosed();
        startNext(connection);
    }

    /** Discards the queued messages of a connection that has ended, and reports its request in progress to the listener. */
    void connectionClosed(ClientConnection connection) {
        connection.markClosed();
        for (PipelinedMessage next = connection.pollWaiting(); next != null; next = connection.pollWaiting()) {
            discard(next);
        }
        if (connection.isRequestInProgress()) {
            listener.onDisconnect(connection.currentToken());
        }
    }

    private void discard(PipelinedMessage message) {
        if (message instanceof PipelinedMessage.RoutedRequest routed) {
            routed.request().releaseBody(bodyBudget);
        }
    }
}
