package laurelkeel.front.upstream;

import org.apache.mina.core.session.IoSession;

/** One connection to a machine; idle where current is null. Front's thread only, but for the session. */
final class Conn {
    final Pool pool;
    final IoSession session;
    Exchange current;
    long idleSince;
    boolean used, gone;

    Conn(Pool pool, IoSession session) {
        this.pool = pool;
        this.session = session;
    }
}
