package laurelkeel.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.jspecify.annotations.Nullable;

/** Reads input of a connection ahead of the I/O thread's next read; only called on that thread. */
@FunctionalInterface
interface SocketInput {
    /** The session attribute that holds the input of a session; not set for each I/O processor. */
    AttributeKey ATTRIBUTE = new AttributeKey(SocketInput.class, "input");

    /**
     * Reads some of the input that has arrived.
     *
     * @return the bytes read; empty if none has arrived or the peer has closed its output; valid until the next call
     */
    ByteBuffer read() throws IOException;

    /** Returns the input of a session; null if its I/O processor provides none. */
    static @Nullable SocketInput of(IoSession session) {
        return session.getAttribute(ATTRIBUTE) instanceof SocketInput input ? input : null;
    }
}
