package laurelkeel.front.upstream;

import org.apache.mina.core.session.IoSession;

/** One connection to a machine; idle where current is null. Front's thread only, but for the session. */
final class EndpointConnection {
    final EndpointPool pool;
    final IoSession session;
    Exchange current;
    long idleSince;
    boolean used, gone;

    EndpointConnection(EndpointPool pool, IoSession session) {
        this.pool = pool;
        this.session = session;
    }
}
