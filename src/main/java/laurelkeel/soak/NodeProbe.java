package laurelkeel.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Finds free ports for nodes, and queries whether nodes are ready. */
final class NodeProbe {
    private static final int TIMEOUT_MILLIS = 500;

    private NodeProbe() {}

    /** Returns a port on which no process listens at present. */
    static int freePort() throws IOException {
        try (ServerSocket listener = new ServerSocket(0)) {
            return listener.getLocalPort();
        }
    }

    /** Whether the health check of the node at this port reports that it is ready. */
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
