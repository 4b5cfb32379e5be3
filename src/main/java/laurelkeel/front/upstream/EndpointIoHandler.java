package laurelkeel.front.upstream;

import java.io.IOException;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.wire.ByteBudget;
import laurelkeel.wire.HttpProtocolException;
import laurelkeel.wire.HttpResponse;
import laurelkeel.wire.SurplusCopy;
import org.apache.mina.core.session.IoSession;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * I/O handler for the connections to endpoints. Parses responses and posts them, and other session events, to the event loop.
 *
 * <p>Thread-safe; called on the I/O threads of the connections.
 */
final class EndpointIoHandler extends ConnectAttempt.Handler {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointIoHandler.class);
    private static final int SERVICE_UNAVAILABLE = 503;

    private final EndpointProtocol protocol;
    private final EventLoop loop;
    private final ExchangeDispatcher dispatcher;
    private final ByteBudget bodyBudget;

    EndpointIoHandler(EndpointProtocol protocol, EventLoop loop, ExchangeDispatcher dispatcher, ByteBudget bodyBudget) {
        this.protocol = protocol;
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.bodyBudget = bodyBudget;
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
        if (message instanceof HttpResponse http) {
            EndpointResponse response = confirmedByInput(http, protocol.parseResponse(http));
            if (response.forwarded() == null) {
                bodyBudget.release(http.body().length);
            }
            boolean isHeld = response.forwarded() != null && http.statesEmptyBody();
            loop.post(() -> responseReceived(session, response, isHeld));
        } else if (message == SurplusCopy.INSTANCE) {
            // closed here, since a request that waits on this thread could otherwise still be written
            session.closeNow();
            loop.post(() -> surplusCopyReceived(session));
        } else if (message instanceof HttpProtocolException failure) {
            LOG.info("{}: unreadable response: {}", session.getRemoteAddress(), failure.getMessage());
            loop.post(() -> responseUnreadable(session, failure));
        }
    }

    /**
     * Returns the response, or an unreadable one if its body would be passed on and its end is in doubt. Whatever follows another
     * response, its head alone tells the outcome.
     */
    private EndpointResponse confirmedByInput(HttpResponse http, EndpointResponse response) {
        return http.hasDoubtfulEnd() && response.forwarded() != null
                ? new EndpointResponse(protocol.unreadableOutcome(), null, response.loadReport(), true)
                : response;
    }

    private void responseReceived(IoSession session, EndpointResponse response, boolean isHeld) {
        EndpointConnection connection = EndpointConnection.of(session);
        if (connection == null) {
            response.releaseBody(bodyBudget);
            session.closeNow();
        } else if (isHeld) {
            dispatcher.holdResponse(connection, response);
        } else {
            dispatcher.responseReceived(connection, response);
        }
    }

    private void surplusCopyReceived(IoSession session) {
        EndpointConnection connection = EndpointConnection.of(session);
        if (connection != null) {
            dispatcher.confirmHeldResponse(connection);
        }
    }

    private void responseUnreadable(IoSession session, HttpProtocolException failure) {
        EndpointConnection connection = EndpointConnection.of(session);
        if (connection == null) {
            session.closeNow();
        } else {
            // 503: this node had no memory for the response body, which is not a failure of the endpoint
            dispatcher.responseUnreadable(
                    connection,
                    failure.status() == SERVICE_UNAVAILABLE ? AttemptOutcome.CANCELLED : protocol.unreadableOutcome());
        }
    }

    @Override
    public void sessionClosed(IoSession session) {
        loop.post(() -> {
            EndpointConnection connection = EndpointConnection.of(session);
            if (connection == null) {
                EndpointConnection.markClosedUnattached(session);
            } else {
                dispatcher.connectionClosed(connection);
            }
        });
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.error("cannot process input from {}", session.getRemoteAddress(), cause);
        }
        loop.post(() -> {
            EndpointConnection connection = EndpointConnection.of(session);
            if (connection != null) {
                connection.takeHeldResponse();
            }
        });
        session.closeNow();
    }
}
