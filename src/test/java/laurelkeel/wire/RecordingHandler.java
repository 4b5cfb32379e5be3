package laurelkeel.wire;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;

/**
 * Records the messages received on a connection, followed by {@link #CLOSED}. Closes the connection when the peer has closed its
 * output, or after an error.
 */
class RecordingHandler extends IoHandlerAdapter {
    static final Object CLOSED = "closed";

    final BlockingQueue<Object> events = new LinkedBlockingQueue<>();
    final BlockingQueue<IoSession> opened = new LinkedBlockingQueue<>();

    @Override
    public void sessionOpened(IoSession session) {
        opened.add(session);
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
        events.add(message);
    }

    @Override
    public void inputClosed(IoSession session) {
        session.closeNow();
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
        session.closeNow();
    }

    @Override
    public void sessionClosed(IoSession session) {
        events.add(CLOSED);
    }
}
