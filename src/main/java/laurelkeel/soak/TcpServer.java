package laurelkeel.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A loopback server with one blocking thread per connection, so that it can misbehave at any byte; thread-safe. */
abstract class TcpServer implements AutoCloseable {
    private static final int BACKLOG = 500;
    /** The numbers of values of the second to fourth byte of an address; the second and the fourth byte start at 1. */
    private static final int SECOND_BYTE_VALUES = 126;

    private static final int THIRD_BYTE_VALUES = 128;
    private static final int FOURTH_BYTE_VALUES = 128;
    private static final AtomicInteger ADDRESSES = new AtomicInteger();

    private final ServerSocket listener;
    private final Set<Socket> openConnections = ConcurrentHashMap.newKeySet();

    /** Listens on a new address. */
    TcpServer() throws IOException {
        this(new InetSocketAddress(nextAddress(), 0));
    }

    /** Listens on the address of an earlier server that has stopped listening. */
    TcpServer(InetSocketAddress address) throws IOException {
        listener = new ServerSocket(address.getPort(), BACKLOG, address.getAddress());
    }

    /**
     * Returns an address that no other server has used. A node continues to connect to the address of a server that was
     * stopped, and must not reach another server that got the same port.
     */
    private static InetAddress nextAddress() throws IOException {
        int number = ADDRESSES.getAndIncrement();
        int second = 1 + number / (THIRD_BYTE_VALUES * FOURTH_BYTE_VALUES) % SECOND_BYTE_VALUES;
        int third = number / FOURTH_BYTE_VALUES % THIRD_BYTE_VALUES;
        int fourth = 1 + number % FOURTH_BYTE_VALUES;
        return InetAddress.getByAddress(new byte[] {127, (byte) second, (byte) third, (byte) fourth});
    }

    /** Starts accepting connections; called once. */
    final void start() {
        DaemonThreads.start("accept", this::accept);
    }

    private void accept() throws IOException {
        while (!listener.isClosed()) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            openConnections.add(socket);
            DaemonThreads.start("serve", () -> serveAndClose(socket));
        }
    }

    private void serveAndClose(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            serve(socket, new BufferedInputStream(socket.getInputStream()));
        } finally {
            openConnections.remove(socket);
        }
    }

    /** Serves one connection, which is closed when this method returns. */
    abstract void serve(Socket socket, InputStream in) throws IOException, InterruptedException;

    final InetSocketAddress socketAddress() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Returns host and port in the format of configurations. */
    final String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Stops accepting connections; open connections stay open. */
    final void stopListening() throws IOException {
        listener.close();
    }

    final void closeConnections() throws IOException {
        for (Socket socket : openConnections) {
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        stopListening();
        closeConnections();
    }
}
