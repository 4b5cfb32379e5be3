package laurelkeel.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.jspecify.annotations.Nullable;

/** A client's connection to one node; not thread-safe. */
final class SoakConnection implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int MILLIS_PER_SECOND = 1_000;

    private final Socket socket;
    private final InputStream in;
    private final NodeInstance node;
    private int requests;

    private SoakConnection(Socket socket, NodeInstance node) throws IOException {
        this.socket = socket;
        this.in = new BufferedInputStream(socket.getInputStream());
        this.node = node;
    }

    /** Opens a connection to a node. */
    static SoakConnection open(NodeInstance node) throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), node.port()), CONNECT_TIMEOUT_MILLIS);
            socket.setTcpNoDelay(true);
            return new SoakConnection(socket, node);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    NodeInstance node() {
        return node;
    }

    /** Returns the number of complete requests sent so far. */
    int requests() {
        return requests;
    }

    void sendRequest(String text) throws IOException {
        HttpText.write(socket, text);
        requests++;
    }

    void sendPartialRequest(String text) throws IOException {
        HttpText.write(socket, text);
    }

    /** Ends the connection, or only its sending direction, as a client does that leaves. */
    void leave(ClientDeparture departure) throws IOException {
        departure.leave(socket);
    }

    /**
     * Reads a response; returns null if the connection ended regularly before its first byte.
     *
     * @throws java.net.SocketTimeoutException if no byte arrives for that time
     */
    @Nullable
    NodeResponse readResponse(double timeoutSeconds) throws IOException {
        socket.setSoTimeout((int) (timeoutSeconds * MILLIS_PER_SECOND));
        return NodeResponse.read(in);
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException ignored) {
            // the socket is closed in either case
        }
    }
}
