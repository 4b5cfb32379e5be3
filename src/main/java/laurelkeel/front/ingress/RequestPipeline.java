package laurelkeel.front.ingress;

import laurelkeel.eventloop.EventLoop;
import laurelkeel.wire.ByteBudget;
import org.jspecify.annotations.Nullable;

/**
 * Handles the messages of each connection in their order, one request in progress at a time.
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

    /** Queues a message of a connection, and handles it if its turn has come. */
    void received(ClientConnection connection, PipelinedMessage message) {
        if (connection.discardsInput()) {
            discard(message);
            return;
        }
        connection.enqueue(message);
        startNext(connection);
    }

    /** Handles the messages of a connection until one of them is a request in progress. */
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
        if (message instanceof PipelinedMessage.Routed routed) {
            startRequest(connection, routed);
        } else if (message instanceof PipelinedMessage.ForNode forNode) {
            connection.setRequestInProgress(true);
            listener.onNodeRequest(connection, forNode.request());
        } else if (message instanceof PipelinedMessage.Rejected rejected) {
            connection.setHeadRequest(rejected.headRequest());
            connection.write(rejected.response(), rejected.closesConnection());
            connection.requestAnswered();
        }
    }

    private void startRequest(ClientConnection connection, PipelinedMessage.Routed message) {
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
        // its client has also waited while it waited for its turn
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
     * Answers all that was read from a client that has ended its output, and closes its connection. Such a client cannot be
     * told from one that has left, so that nothing more is begun for it; but it may still read.
     */
    void clientLeft(ClientConnection connection) {
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
        // what was read and is not yet queued finds the connection closed
        connection.markClosed();
        connection.closeOnFlush();
    }

    /** Discards the messages of a connection that has ended. */
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
        if (message instanceof PipelinedMessage.Routed routed) {
            routed.request().releaseBody(bodyBudget);
        }
    }
}
