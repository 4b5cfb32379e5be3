package laurelkeel.testbed;

import laurelkeel.eventloop.EventLoop.ScheduledTask;
import laurelkeel.wire.HttpRequest;
import org.apache.mina.core.session.IoSession;
import org.jspecify.annotations.Nullable;

/** A request at a simulated server. Not thread-safe; used on the fleet's loop. */
final class ServerRequest {
    final IoSession session;
    final HttpRequest message;
    final String requestId;
    final String route;
    final int attemptNumber;
    /** Fires when the work ends; null while the request is not being worked on. */
    @Nullable
    ScheduledTask workTimer;

    /** Whether no response is to be sent, because the peer has disconnected or a fault suppresses it. */
    boolean isAbandoned;

    ServerRequest(IoSession session, HttpRequest message, String requestId, String route, int attemptNumber) {
        this.session = session;
        this.message = message;
        this.requestId = requestId;
        this.route = route;
        this.attemptNumber = attemptNumber;
    }
}
