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
    /** The end of the work; null while there is none. */
    @Nullable
    ScheduledTask workTimer;

    /** Whether the peer has gone, or is to get no response. */
    boolean isAbandoned;

    ServerRequest(IoSession session, HttpRequest message, String requestId, String route, int attemptNumber) {
        this.session = session;
        this.message = message;
        this.requestId = requestId;
        this.route = route;
        this.attemptNumber = attemptNumber;
    }
}
