package laurelkeel.wire;

import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.jspecify.annotations.Nullable;

/**
 * Is told what a read has found behind the bytes that it returned. The I/O thread tells it before it handles those bytes, whereas
 * MINA's {@code inputClosed} and {@code exceptionCaught} follow after that. Called on the I/O thread.
 */
public interface InputListener {
    /** The session attribute that holds the listener of a session. */
    AttributeKey ATTRIBUTE = new AttributeKey(InputListener.class, "listener");

    /** The peer has ended its output, or the connection has failed; may be called more than once. */
    void inputEnded();

    /** Everything that has arrived was read, and the peer has not ended its output. */
    void inputDrained();

    /** Returns the listener of a session; null if it has none. */
    static @Nullable InputListener of(IoSession session) {
        return session.getAttribute(ATTRIBUTE) instanceof InputListener listener ? listener : null;
    }
}
