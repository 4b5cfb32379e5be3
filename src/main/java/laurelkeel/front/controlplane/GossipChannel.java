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
 * Exchanges short messages with other nodes. Each message is one UDP datagram that consists of "LK1", the sender's node
 * index in four bytes, and the payload. Messages may be lost, duplicated or delayed; receivers must tolerate that.
 */
public final class GossipChannel {
    /** Maximum size of a message's payload. */
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
     * Creates a channel; {@link #open} opens its socket.
     *
     * @param address the local address to receive messages at
     * @param peers the addresses of all nodes, keyed by node index
     * @param threads executor for the socket's I/O
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
     * @throws IOException if the address cannot be bound
     */
    public void open() throws IOException {
        socket.bind(address);
    }

    /** Closes the socket without waiting until it is closed. */
    public void close() {
        socket.dispose(false);
    }

    /**
     * Sends a message to one node, or to all other nodes if {@code toNode} is negative.
     *
     * @throws IllegalArgumentException if the payload exceeds {@link #MAX_PAYLOAD_BYTES}
     */
    public void send(int toNode, byte[] payload) {
        if (payload.length > MAX_PAYLOAD_BYTES) {
            throw new IllegalArgumentException(
                    "gossip payload of " + payload.length + " bytes exceeds " + MAX_PAYLOAD_BYTES);
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
            // acceptable because messages may be lost: the socket is not open, or this host is out of some resource
            LOG.warn("cannot send a gossip message to node {}: {}", peer, e.toString());
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
            // expected for a peer that is down, whose host replies with ICMP port unreachable; nothing can be done here
        }
    }
}
