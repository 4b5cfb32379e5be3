package laurelkeel.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Opens far more connections than a node may have; they send nothing, or only the start of a request. */
final class ConnectionFlood {
    private static final int CONNECTIONS = 500;
    /** Every n-th connection sends a part of a request; the others send nothing. */
    private static final int PARTIAL_REQUEST_INTERVAL = 3;

    private static final int CONNECT_TIMEOUT_MILLIS = 200;
    private static final int HOLD_MILLIS = 2_000;

    private ConnectionFlood() {}

    /** Opens the connections to a node, holds them open for a fixed time, and closes them. */
    static void run(int port, RunState state, ViolationLog violations) throws InterruptedException {
        state.markFlooded();
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS && !state.isEnding(); i++) {
            Socket socket = new Socket();
            sockets.add(socket);
            try {
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MILLIS);
                if (i % PARTIAL_REQUEST_INTERVAL == 0) {
                    HttpText.write(socket, "GET /look HTTP/1.1\r\nHo");
                }
            } catch (IOException e) {
                violations.count("of a crowd turned away");
            }
        }
        Thread.sleep(HOLD_MILLIS);
        for (Socket socket : sockets) {
            close(socket);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // the socket is closed in either case
        }
    }
}
