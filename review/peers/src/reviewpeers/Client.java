package reviewpeers;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One connection of a client. */
final class Client implements AutoCloseable {
    private final Socket socket = new Socket();
    private final InputStream in;

    Client(int port) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request and returns the answer to it. */
    Http.Message ask(String request, int timeoutMillis) throws IOException {
        socket.setSoTimeout(timeoutMillis);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        Http.Message answer = Http.read(in);
        if (answer == null) {
            throw new EOFException("closed without an answer");
        }
        return answer;
    }

    /** Returns a request in the platform's form. */
    static String request(String route, String id, String key, String timeLeft) {
        boolean keyed = route.equals("change");
        return (keyed ? "POST /" : "GET /") + route + "/flags HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: " + id
                + "\r\nX-Account: liffey-pay\r\nX-Session-Key: " + key + "\r\nX-Time-Left: " + timeLeft + "\r\n"
                + (keyed ? "Idempotency-Key: " + id + id + "\r\nContent-Length: 5\r\n\r\nvalue" : "\r\n");
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
