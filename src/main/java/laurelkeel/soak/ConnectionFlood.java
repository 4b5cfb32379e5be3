package laurelkeel.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Connections that send nothing, or stop in the middle of a request, far more than a node may have. */
final class ConnectionCrowd {
    private static final int CONNECTIONS = 500;
    /** One connection of so many sends a part of a request. */
    private static final int SENDING_INTERVAL = 3;

    private static final int CONNECT_TIMEOUT_MILLIS = 200;
    private static final int STAY_MILLIS = 2_000;

    private ConnectionCrowd() {}

    /** Opens the connections to a node, and closes them after a while. */
    static void visit(int port, RunState state, ViolationLog violations) throws InterruptedException {
        state.crowd();
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS && !state.isEnding(); i++) {
            Socket socket = new Socket();
            sockets.add(socket);
            try {
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MILLIS);
                if (i % SENDING_INTERVAL == 0) {
                    HttpText.write(socket, "GET /look HTTP/1.1\r\nHo");
                }
            } catch (IOException e) {
                violations.count("of a crowd turned away");
            }
        }
        Thread.sleep(STAY_MILLIS);
        for (Socket socket : sockets) {
            close(socket);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // it is closed either way
        }
    }
}
