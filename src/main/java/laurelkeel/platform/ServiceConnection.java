package laurelkeel.platform;

import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import org.jspecify.annotations.Nullable;

/**
 * One connection to a service of the platform, from the moment in which it is being opened.
 *
 * <p>Not thread-safe; called on the event loop's thread.
 */
final class ServiceConnection {
    private final ConnectionListener listener;
    private @Nullable IoSession session;
    private boolean closed;

    ServiceConnection(ConnectionListener listener) {
        this.listener = listener;
    }

    /** Whether it is established and has not ended. */
    boolean isOpen() {
        return session != null && !closed;
    }

    /** Sends bytes; only while it is open. */
    void write(byte[] bytes) {
        IoSession established = session;
        if (established == null) {
            throw new IllegalStateException("the connection is not established");
        }
        established.write(IoBuffer.wrap(bytes));
    }

    /** Closes it in any state; its listener is not called any more. */
    void close() {
        closed = true;
        if (session != null) {
            session.closeNow();
        }
    }

    void onConnected(IoSession established, byte[] opening) {
        if (closed) {
            established.closeNow();
        } else {
            session = established;
            write(opening);
        }
    }

    void onBytes(byte[] bytes, long arrivedAtTicks) {
        if (!closed) {
            listener.onBytes(bytes, arrivedAtTicks);
        }
    }

    void onClosed(boolean written) {
        if (!closed) {
            closed = true;
            listener.onClosed(written);
        }
    }
}
