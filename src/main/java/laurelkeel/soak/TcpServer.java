package laurelkeel.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A listener on loopback with a thread a connection, for stand-ins that misbehave at will. */
abstract class TcpServer implements AutoCloseable {
    /** The head of an answer that goes on in chunks. */
    static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static final int BACKLOG = 500;
    private static final int LONGEST_LINE = 16 << 10;
    private static final AtomicInteger ADDRESSES = new AtomicInteger();

    private final ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    TcpServer() throws IOException {
        this(new InetSocketAddress(nextAddress(), 0));
    }

    /** At an address where an earlier one has stopped listening. */
    TcpServer(InetSocketAddress at) throws IOException {
        listener = new ServerSocket(at.getPort(), BACKLOG, at.getAddress());
    }

    final InetSocketAddress at() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /**
     * Each listener has an address of its own: a node goes on dialling an address that was given up, and must not reach
     * somebody else who was given its port.
     */
    private static InetAddress nextAddress() throws IOException {
        int n = ADDRESSES.getAndIncrement();
        return InetAddress.getByAddress(
                new byte[] {127, (byte) (1 + n / 16_384 % 126), (byte) (n / 128 % 128), (byte) (1 + n % 128)});
    }

    /** Called once, when the stand-in is complete. */
    final void start() {
        daemon("accept", () -> {
            while (!listener.isClosed()) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                daemon("serve", () -> {
                    try (socket) {
                        serve(socket, new BufferedInputStream(socket.getInputStream()));
                    } finally {
                        open.remove(socket);
                    }
                });
            }
        });
    }

    /** One connection, until it is to be closed. */
    abstract void serve(Socket socket, InputStream in) throws IOException, InterruptedException;

    final String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Takes no new connections; those open stay. */
    final void stopListening() throws IOException {
        listener.close();
    }

    final void closeConnections() throws IOException {
        for (Socket socket : open) {
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        stopListening();
        closeConnections();
    }

    /** Work that may end with its connection. */
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    static Thread daemon(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        // the other side or the end of the run has closed it
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "soak-" + name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** One line without its end; null at the end of the input. */
    static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                int end = line.length();
                return end > 0 && line.charAt(end - 1) == '\r' ? line.substring(0, end - 1) : line.toString();
            }
            if (line.length() > LONGEST_LINE) {
                throw new IOException("a line without end");
            }
            line.append((char) b);
        }
        return null;
    }

    /** Header lines up to the empty one, by their names in lower case. */
    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            if (colon > 0) {
                headers.put(
                        header.substring(0, colon).toLowerCase(Locale.ROOT),
                        header.substring(colon + 1).strip());
            }
        }
        return headers;
    }

    /** The length of a body that these headers announce. */
    static int contentLength(Map<String, String> headers) {
        return Integer.parseInt(headers.getOrDefault("content-length", "0"));
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** A part of an answer that is chunked. */
    static void writeChunk(Socket socket, String text) throws IOException {
        write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    /** Ends a connection with a reset in place of an orderly end. */
    static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }
}
