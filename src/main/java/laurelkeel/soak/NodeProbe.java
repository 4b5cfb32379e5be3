package laurelkeel.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.jspecify.annotations.Nullable;

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
        String statusLine = checkHealth(port);
        return statusLine != null && statusLine.startsWith("HTTP/1.1 200 ");
    }

    /** Whether the node at this port responds at all. */
    static boolean responds(int port) {
        return checkHealth(port) != null;
    }

    /** Requests a health check and returns the status line of the response; null if there is none. */
    private static @Nullable String checkHealth(int port) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), TIMEOUT_MILLIS);
            socket.setSoTimeout(TIMEOUT_MILLIS);
            HttpText.write(socket, "GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            return HttpText.readLine(socket.getInputStream());
        } catch (IOException e) {
            return null;
        }
    }
}
