package laurelkeel.platform;

import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import org.jspecify.annotations.Nullable;

/**
 * One connection to a platform service, which may still be opening.
 *
 * <p>Not thread-safe; called on the event loop's thread.
 */
final class ServiceConnection {
    private final ConnectionListener listener;
    /** Cancels the attempt to connect, once that has been started. */
    private Runnable cancelConnect = () -> {};

    private @Nullable IoSession session;
    private boolean closed;

    ServiceConnection(ConnectionListener listener) {
        this.listener = listener;
    }

    void connecting(Runnable cancel) {
        cancelConnect = cancel;
    }

    /** Returns whether the connection is established and has not ended. */
    boolean isOpen() {
        return session != null && !closed;
    }

    /** Sends bytes; the connection must be open. */
    void write(byte[] bytes) {
        IoSession established = session;
        if (established == null) {
            throw new IllegalStateException("the connection is not established");
        }
        established.write(IoBuffer.wrap(bytes));
    }

    /** Closes the connection in any state; the listener is no longer called. */
    void close() {
        closed = true;
        if (session != null) {
            session.closeNow();
        } else {
            cancelConnect.run();
        }
    }

    void onConnected(IoSession established, byte[] initialBytes) {
        if (closed) {
            established.closeNow();
        } else {
            session = established;
            write(initialBytes);
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
