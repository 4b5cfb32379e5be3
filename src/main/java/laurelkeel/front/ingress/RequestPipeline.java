package laurelkeel.front.ingress;

import laurelkeel.eventloop.EventLoop;
import laurelkeel.wire.ByteBudget;
import org.jspecify.annotations.Nullable;

/**
 * Handles the messages of each connection in the order in which they arrived, with one request in progress at a time.
 *
 * <p>Not thread-safe; called on the event loop's thread.
 */
final class RequestPipeline {
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

    /** Handles the queued messages of a connection until a request is in progress there or the queue is empty. */
    void startNext(ClientConnection connection) {
        while (connection.isReadyForNext()) {
            PipelinedMessage next = connection.pollWaiting();
            if (next != null) {
                start(connection, next);
            }
        }
    }

    private void start(ClientConnection connection, PipelinedMessage message) {
        connection.setHeadRequest(false);
        if (message instanceof PipelinedMessage.RoutedRequest routed) {
            startRequest(connection, routed);
        } else if (message instanceof PipelinedMessage.NodeRequest nodeRequest) {
            connection.setRequestInProgress(true);
            listener.onNodeRequest(connection, nodeRequest.request());
        } else if (message instanceof PipelinedMessage.Rejected rejected) {
            connection.setHeadRequest(rejected.headRequest());
            connection.write(rejected.response(), rejected.closesConnection());
            connection.requestAnswered();
        }
    }

    private void startRequest(ClientConnection connection, PipelinedMessage.RoutedRequest message) {
        ClientRequest request = message.request();
        connection.setHeadRequest(request.headRequest());
        String rejection = findReasonToReject();
        if (rejection != null) {
            request.releaseBody(bodyBudget);
            boolean last = listener.isClosingConnections() || request.closesConnection();
            connection.write(rejections.reject(rejection, last), last);
            connection.requestAnswered();
            return;
        }
        connection.setRequestInProgress(true);
        // the time of arrival, not the current time: the client was already waiting while the request was queued
        listener.onRequest(connection, request, message.arrivedTicks());
    }

    private @Nullable String findReasonToReject() {
        if (listener.activeRequests() >= settings.maxOpenRequests()
                || loop.queuedTasks() >= settings.maxQueuedTasks()) {
            return "this front is full";
        }
        boolean stopping = listener.hasEnded() || (listener.isClosingConnections() && settings.lameDuckTicks() == 0);
        return stopping ? "this front is stopping" : null;
    }

    /**
     * Answers all requests read from a client that has closed its side of the connection, and closes the connection. Such a
     * client cannot be distinguished from one that has disconnected, so none of its queued requests is started; but it may
     * still read the responses.
     */
    void clientClosedOutput(ClientConnection connection) {
        if (connection.isRequestInProgress() && connection.currentToken() != null) {
            listener.onDisconnect(connection.currentToken());
            connection.setCurrentToken(null);
            connection.write(protocol.failed(false, "its client ended the connection; the req may have run"), false);
        }
        for (PipelinedMessage next = connection.pollWaiting(); next != null; next = connection.pollWaiting()) {
            connection.write(
                    next instanceof PipelinedMessage.Rejected rejected
                            ? rejected.response()
                            : protocol.notAccepted("its client ended the connection"),
                    false);
            discard(next);
        }
        connection.allRequestsAnswered();
        // messages that were read but are not queued yet are discarded once the connection is marked as closed
        connection.markClosed();
        connection.closeOnFlush();
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
