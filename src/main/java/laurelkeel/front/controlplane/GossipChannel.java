package laurelkeel.front.controlplane;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import laurelkeel.eventloop.EventLoop;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioDatagramAcceptor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Short notes between fronts: one datagram each, "LK1", the sender's number in four bytes, then 256 bytes at most.
 * They may be lost, doubled or late; whoever reads them must bear that.
 */
public final class GossipChannel {
    public static final int MOST = 256;
    private static final Logger LOG = LoggerFactory.getLogger(GossipChannel.class);
    private static final byte[] MAGIC = {'L', 'K', '1'};
    private static final int HEAD = MAGIC.length + 4;

    private final int self;
    private final Map<Integer, InetSocketAddress> peers;
    private final NioDatagramAcceptor socket;
    private final InetSocketAddress at;

    /** @param heard on the front's thread: sender and bytes */
    public GossipChannel(
            int self,
            InetSocketAddress at,
            Map<Integer, InetSocketAddress> peers,
            EventLoop loop,
            Executor threads,
            BiConsumer<Integer, byte[]> heard) {
        this.self = self;
        this.at = at;
        this.peers = Map.copyOf(peers);
        socket = new NioDatagramAcceptor(threads);
        socket.getSessionConfig().setReuseAddress(true);
        socket.getSessionConfig().setReceiveBufferSize(1 << 20);
        socket.setHandler(new IoHandlerAdapter() {
            @Override
            public void messageReceived(IoSession session, Object message) {
                IoBuffer in = (IoBuffer) message;
                if (in.remaining() < HEAD || in.remaining() > HEAD + MOST) {
                    return;
                }
                for (byte b : MAGIC) {
                    if (in.get() != b) {
                        return;
                    }
                }
                int from = in.getInt();
                byte[] bytes = new byte[in.remaining()];
                in.get(bytes);
                if (from != self && GossipChannel.this.peers.containsKey(from)) {
                    loop.post(() -> heard.accept(from, bytes));
                }
            }

            @Override
            public void exceptionCaught(IoSession session, Throwable cause) {
                // a peer that is down answers with a port unreachable: nothing to mend from here
            }
        });
    }

    public void open() throws IOException {
        socket.bind(at);
    }

    public void close() {
        socket.dispose(false);
    }

    /** To one front, or to all where to is below 0; over 256 bytes is a fault of the caller. */
    public void tell(int to, byte[] bytes) {
        if (bytes.length > MOST) {
            throw new IllegalArgumentException("a note has " + bytes.length + " bytes, over " + MOST);
        }
        peers.forEach((n, address) -> {
            if (n != self && (to < 0 || to == n)) {
                IoBuffer out = IoBuffer.allocate(HEAD + bytes.length);
                out.put(MAGIC).putInt(self).put(bytes).flip();
                try {
                    socket.newSession(address, at).write(out);
                } catch (RuntimeException e) {
                    // notes may be lost: to a socket that is not open, or for want of something of this host's
                    LOG.warn("a note to front {} could not be sent: {}", n, e.toString());
                }
            }
        });
    }
}
