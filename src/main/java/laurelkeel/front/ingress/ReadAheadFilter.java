package laurelkeel.front.ingress;

import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.filterchain.IoFilterAdapter;
import org.apache.mina.core.session.IoSession;

/** Passes the bytes of each connection through its {@link ConnectionInput}; stands before the codec. Thread-safe. */
final class ReadAheadFilter extends IoFilterAdapter {
    @Override
    public void messageReceived(NextFilter next, IoSession session, Object message) {
        ClientConnection connection = ClientConnection.of(session);
        if (connection != null && message instanceof IoBuffer bytes) {
            connection.input().received(next, bytes);
        } else {
            next.messageReceived(session, message);
        }
    }
}
