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
 * Exchanges short messages with other nodes: one UDP datagram each, with "LK1", the sender's node index in four bytes,
 * and the payload. Messages may be lost, duplicated or late, and the receiver must bear that.
 */
public final class GossipChannel {
    /** The longest payload of a message. */
    public static final int MAX_PAYLOAD_BYTES = 256;

    private static final Logger LOG = LoggerFactory.getLogger(GossipChannel.class);
    private static final byte[] MAGIC = {'L', 'K', '1'};
    private static final int HEADER_BYTES = MAGIC.length + Integer.BYTES;
    private static final int RECEIVE_BUFFER_BYTES = 1 << 20;

    private final int nodeIndex;
    private final Map<Integer, InetSocketAddress> peers;
    private final EventLoop loop;
    private final BiConsumer<Integer, byte[]> onMessage;
    private final NioDatagramAcceptor socket;
    private final InetSocketAddress address;

    /**
     * Creates a channel that is not open yet.
     *
     * @param address where messages are received
     * @param peers the addresses of all nodes by node index
     * @param threads run the socket
     * @param onMessage called on the event loop's thread with the sender's node index and the payload
     */
    public GossipChannel(
            int nodeIndex,
            InetSocketAddress address,
            Map<Integer, InetSocketAddress> peers,
            EventLoop loop,
            Executor threads,
            BiConsumer<Integer, byte[]> onMessage) {
        this.nodeIndex = nodeIndex;
        this.address = address;
        this.peers = Map.copyOf(peers);
        this.loop = loop;
        this.onMessage = onMessage;
        socket = new NioDatagramAcceptor(threads);
        socket.getSessionConfig().setReuseAddress(true);
        socket.getSessionConfig().setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.setHandler(new DatagramHandler());
    }

    /**
     * Opens the socket.
     *
     * @throws IOException where the address cannot be bound
     */
    public void open() throws IOException {
        socket.bind(address);
    }

    /** Closes the socket, without waiting for it. */
    public void close() {
        socket.dispose(false);
    }

    /**
     * Sends a message to one node, or to all others where the receiver's index is below 0.
     *
     * @throws IllegalArgumentException where the payload is over {@link #MAX_PAYLOAD_BYTES}
     */
    public void send(int toNode, byte[] payload) {
        if (payload.length > MAX_PAYLOAD_BYTES) {
            throw new IllegalArgumentException(
                    "a gossip payload has " + payload.length + " bytes, over " + MAX_PAYLOAD_BYTES);
        }
        peers.forEach((peer, peerAddress) -> {
            if (peer != nodeIndex && (toNode < 0 || toNode == peer)) {
                send(peer, peerAddress, payload);
            }
        });
    }

    private void send(int peer, InetSocketAddress peerAddress, byte[] payload) {
        IoBuffer datagram = IoBuffer.allocate(HEADER_BYTES + payload.length);
        datagram.put(MAGIC).putInt(nodeIndex).put(payload).flip();
        try {
            socket.newSession(peerAddress, address).write(datagram);
        } catch (RuntimeException e) {
            // messages may be lost: to a socket that is not open, or for want of something of this host's
            LOG.warn("gossip to node {} could not be sent: {}", peer, e.toString());
        }
    }

    private final class DatagramHandler extends IoHandlerAdapter {
        @Override
        public void messageReceived(IoSession session, Object message) {
            IoBuffer datagram = (IoBuffer) message;
            if (datagram.remaining() < HEADER_BYTES || datagram.remaining() > HEADER_BYTES + MAX_PAYLOAD_BYTES) {
                return;
            }
            for (byte expected : MAGIC) {
                if (datagram.get() != expected) {
                    return;
                }
            }
            int fromNode = datagram.getInt();
            byte[] payload = new byte[datagram.remaining()];
            datagram.get(payload);
            if (fromNode != nodeIndex && peers.containsKey(fromNode)) {
                loop.post(() -> onMessage.accept(fromNode, payload));
            }
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            // a peer that is down answers with a port unreachable, about which nothing can be done here
        }
    }
}
