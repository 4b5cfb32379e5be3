package laurelkeel.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A stub server on loopback with one daemon thread per connection; it runs until the process exits. */
final class LoopbackServer {
    private static final int BACKLOG = 50;

    private LoopbackServer() {}

    /** Handles one connection. */
    interface ConnectionHandler {
        /** Handles a connection. The connection stays open after the method returns. */
        void serve(Socket socket, BufferedReader in) throws IOException;
    }

    /** Starts a server and returns its address. */
    static String start(ConnectionHandler handler) throws IOException {
        ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        startDaemon(() -> accept(listener, handler));
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private static void accept(ServerSocket listener, ConnectionHandler handler) {
        try {
            while (true) {
                Socket socket = listener.accept();
                startDaemon(() -> serve(socket, handler));
            }
        } catch (IOException ignored) {
            // the process is exiting
        }
    }

    private static void serve(Socket socket, ConnectionHandler handler) {
        try {
            handler.serve(
                    socket,
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1)));
        } catch (IOException ignored) {
            // the node has closed the connection
        }
    }

    private static void startDaemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads up to the empty line that ends a message's head; returns false if the input ends before it. */
    static boolean readHead(BufferedReader in) throws IOException {
        String line = in.readLine();
        while (line != null && !line.isEmpty()) {
            line = in.readLine();
        }
        return line != null;
    }
}
