package laurelkeel.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * An I/O processor that checks for unexpected input immediately before it writes a request announced with
 * {@link HttpCodec#announceRequest}. On a slow core, the I/O thread may not yet have read input that arrived long ago. Without
 * the check, a late surplus response could be mistaken for the response to the new request, and a request could be lost on a
 * connection that the peer has already closed.
 *
 * <p>It tells the {@link InputListener} of a session what its reads find, and provides a {@link SocketInput} for each session,
 * so that a decoder can look behind the end of a read buffer.
 */
public final class UnexpectedInputProcessor extends NioProcessor {
    private static final int READ_AHEAD_BYTES = 64;

    private final IoBuffer probe = IoBuffer.allocate(1);
    private final IoBuffer readAhead = IoBuffer.allocate(READ_AHEAD_BYTES);

    /** Creates a processor; called by MINA through reflection. */
    public UnexpectedInputProcessor(Executor threads) {
        super(threads);
    }

    @Override
    protected void init(NioSession session) throws Exception {
        super.init(session);
        SocketInput input = () -> readAhead(session);
        session.setAttribute(SocketInput.ATTRIBUTE, input);
    }

    private ByteBuffer readAhead(NioSession session) throws IOException {
        readAhead.clear();
        readInto(session, readAhead);
        return readAhead.flip().buf();
    }

    @Override
    protected int read(NioSession session, IoBuffer buffer) throws Exception {
        try {
            int count = super.read(session, buffer);
            if (count <= 0) {
                tellListener(session, count < 0);
            }
            return count;
        } catch (IOException e) {
            tellListener(session, true);
            throw e;
        }
    }

    private static void tellListener(NioSession session, boolean ended) {
        InputListener listener = InputListener.of(session);
        if (listener != null && ended) {
            listener.inputEnded();
        } else if (listener != null) {
            listener.inputDrained();
        }
    }

    @Override
    protected int write(NioSession session, IoBuffer bytes, int length) throws IOException {
        BooleanSupplier mayBeWritten = HttpCodec.takeAnnouncedRequest(session);
        if (mayBeWritten != null) {
            if (!mayBeWritten.getAsBoolean()) {
                throw new IOException("the request may no longer be written");
            }
            if (readByte(session) != 0) {
                // MINA closes the session, and no byte of the request was written
                throw new IOException("unexpected input before a request, or the connection is closed");
            }
            HttpCodec.expectResponse(session);
        }
        return super.write(session, bytes, length);
    }

    /** Reads at most one byte; returns 0 if there is no input, 1 if there is, and -1 if the peer has closed its output. */
    private int readByte(NioSession session) throws IOException {
        probe.clear();
        return readInto(session, probe);
    }

    private int readInto(NioSession session, IoBuffer buffer) throws IOException {
        try {
            return read(session, buffer);
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException(e);
        }
    }
}
