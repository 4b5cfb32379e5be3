package laurelkeel.front.ingress;

import java.io.IOException;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpRequest;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles the I/O events of client connections and posts the resulting work to the event loop.
 *
 * <p>Thread-safe; called on the I/O threads of the connections.
 */
final class ClientIoHandler extends IoHandlerAdapter {
    private static final Logger LOG = LoggerFactory.getLogger(ClientIoHandler.class);

    private final EventLoop loop;
    private final ClientAcceptor acceptor;
    private final ClientConnectionTable connections;
    private final ConnectionAdmission admission;
    private final RequestReader reader;
    private final RequestPipeline pipeline;
    private final ResponseSender responses;

    ClientIoHandler(
            EventLoop loop,
            ClientAcceptor acceptor,
            ClientConnectionTable connections,
            ConnectionAdmission admission,
            RequestReader reader,
            RequestPipeline pipeline,
            ResponseSender responses) {
        this.loop = loop;
        this.acceptor = acceptor;
        this.connections = connections;
        this.admission = admission;
        this.reader = reader;
        this.pipeline = pipeline;
        this.responses = responses;
    }

    @Override
    public void sessionOpened(IoSession session) {
        acceptor.sessionOpened();
        admission.admit(session);
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
        ClientConnection connection = connection(session);
        long arrivedTicks = loop.clockTicks();
        if (message instanceof HttpRequest request) {
            if (connection.isRejected()) {
                reader.discard(request);
                return;
            }
            connection.input().requestDecoded();
            post(connection, reader.read(connection, request, arrivedTicks));
        } else if (message instanceof HttpProtocolException failure) {
            connection.input().requestDecoded();
            post(connection, reader.rejectUnreadable(failure));
        }
    }

    private void post(ClientConnection connection, PipelinedMessage message) {
        loop.post(() -> pipeline.received(connection, message));
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
        boolean connectionFailed = cause instanceof IOException;
        if (!connectionFailed) {
            LOG.error("client connection {}: error while handling its input", session.getId(), cause);
        }
        clientEnded(
                ClientConnection.of(session),
                connectionFailed ? CloseReason.CONNECTION_ERROR : CloseReason.INTERNAL_ERROR);
        session.closeNow();
    }

    @Override
    public void inputClosed(IoSession session) {
        ClientConnection connection = ClientConnection.of(session);
        clientEnded(connection, CloseReason.CLIENT_CLOSED);
        // otherwise the selector would report the end of input repeatedly
        session.suspendRead();
        if (connection != null && !connection.input().isAnswered()) {
            loop.post(() -> clientClosedOutput(connection));
        } else {
            session.closeOnFlush();
        }
    }

    private void clientClosedOutput(ClientConnection connection) {
        if (!connection.isClosed()) {
            // a response from this turn of the event loop may still be unwritten; until then its request is in progress
            responses.flush();
            pipeline.clientClosedOutput(connection);
        }
    }

    @Override
    public void sessionClosed(IoSession session) {
        ClientConnection connection = connection(session);
        long unreadMillis = connection.unreadMillis();
        connection.input().release();
        clientEnded(connection, connection.closeReason());
        connections.recordClosed(connection);
        int unanswered = connection.input().unansweredRequests();
        if (unanswered > 0) {
            LOG.info(
                    "client connection {} ended: {}, {} requests unanswered, input unread for {} ms",
                    connection.id(),
                    connection.closeReason(),
                    unanswered,
                    unreadMillis);
        }
        loop.post(() -> pipeline.connectionClosed(connection));
    }

    private static ClientConnection connection(IoSession session) {
        ClientConnection connection = ClientConnection.of(session);
        if (connection == null) {
            throw new IllegalStateException("session " + session.getId() + " was never opened");
        }
        return connection;
    }

    private static void clientEnded(@Nullable ClientConnection connection, CloseReason reason) {
        if (connection != null) {
            connection.recordCloseReason(reason);
            connection.markClientEnded();
        }
    }
}
