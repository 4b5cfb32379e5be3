package laurelkeel.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Finds ports for nodes, and asks nodes whether they are ready. */
final class NodeProbe {
    private static final int TIMEOUT_MILLIS = 500;

    private NodeProbe() {}

    /** A port that nobody listens at just now. */
    static int freePort() throws IOException {
        try (ServerSocket listener = new ServerSocket(0)) {
            return listener.getLocalPort();
        }
    }

    /** Whether the node at this port says that it is ready. */
    static boolean isReady(int port) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), TIMEOUT_MILLIS);
            socket.setSoTimeout(TIMEOUT_MILLIS);
            HttpText.write(socket, "GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            String statusLine = HttpText.readLine(socket.getInputStream());
            return statusLine != null && statusLine.startsWith("HTTP/1.1 200 ");
        } catch (IOException e) {
            return false;
        }
    }
}
