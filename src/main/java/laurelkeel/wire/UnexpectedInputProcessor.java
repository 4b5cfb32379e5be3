package laurelkeel.wire;

import java.io.IOException;
import java.util.concurrent.Executor;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * An I/O thread that checks for unexpected input right before it writes a request that was announced with
 * {@link HttpCodec#announceRequest}. On a slow core it may not have read input that arrived long ago: a late second response
 * would be taken for the one to this request, and a connection that the other side has closed would swallow the request.
 */
public final class UnexpectedInputProcessor extends NioProcessor {
    private final IoBuffer probe = IoBuffer.allocate(1);

    /** Creates a processor; called by MINA, by reflection. */
    public UnexpectedInputProcessor(Executor threads) {
        super(threads);
    }

    @Override
    protected int write(NioSession session, IoBuffer bytes, int length) throws IOException {
        if (HttpCodec.takeAnnouncedRequest(session)) {
            if (readByte(session) != 0) {
                // MINA closes the session, and no byte of the request was written
                throw new IOException("unexpected input before a request, or the connection is closed");
            }
            HttpCodec.expectResponse(session);
        }
        return super.write(session, bytes, length);
    }

    /** Returns 0 where there is no input, 1 where there is, and -1 where the other side has ended its output. */
    private int readByte(NioSession session) throws IOException {
        probe.clear();
        try {
            return read(session, probe);
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException(e);
        }
    }
}
