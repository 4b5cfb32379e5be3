package laurelkeel.wire;

import java.io.IOException;
import java.util.concurrent.Executor;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * A socket thread that looks, right before it writes a request where requests go one by one, whether anything has come
 * that nothing asked for. On a slow core it may not have read yet what came long ago, and a late second answer would be
 * taken for this request's; a connection that the other side has ended would swallow it.
 */
public final class UnexpectedInputProcessor extends NioProcessor {
    private final IoBuffer look = IoBuffer.allocate(1);

    public UnexpectedInputProcessor(Executor threads) {
        super(threads);
    }

    @Override
    protected int write(NioSession session, IoBuffer bytes, int length) throws IOException {
        if (HttpCodec.takeAnnouncedRequest(session)) {
            if (look(session) != 0) {
                // MINA ends the session, and not a byte of the request has left
                throw new IOException("something stands before the request: its connection has lost step or ended");
            }
            HttpCodec.expectResponse(session);
        }
        return super.write(session, bytes, length);
    }

    private int look(NioSession session) throws IOException {
        look.clear();
        try {
            return read(session, look);
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException(e);
        }
    }
}
