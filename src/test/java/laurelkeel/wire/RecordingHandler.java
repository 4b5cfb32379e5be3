package laurelkeel.wire;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;

/** Keeps what a connection's reader is told, up to CLOSED, and closes where the other side has ended or an error came. */
class RecordingHandler extends IoHandlerAdapter {
    static final Object CLOSED = "closed";

    final BlockingQueue<Object> told = new LinkedBlockingQueue<>();
    final BlockingQueue<IoSession> opened = new LinkedBlockingQueue<>();

    @Override
    public void sessionOpened(IoSession session) {
        opened.add(session);
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
        told.add(message);
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
        told.add(CLOSED);
    }
}
