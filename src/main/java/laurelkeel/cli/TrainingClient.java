package laurelkeel.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** The client of the class archive's training run: sends sequential requests over one connection. */
final class TrainingClient implements AutoCloseable {
    private static final int PARTITION_KEYS = 50;

    private final Socket socket;
    private final BufferedReader in;

    TrainingClient(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    /**
     * Sends a request and reads its response.
     *
     * @param number the request's number; every second request is a POST with an idempotency key
     * @return whether the request was served
     */
    boolean sendRequest(int number) throws IOException {
        LoopbackServer.write(socket, request(number));
        String statusLine = in.readLine();
        if (statusLine == null) {
            throw new IOException("the node closed the connection");
        }
        boolean served = statusLine.contains(" 200 ");
        LoopbackServer.readHead(in);
        if (served) {
            readBody();
        }
        return served;
    }

    private void readBody() throws IOException {
        int length = TrainingServices.ENDPOINT_BODY.length();
        if (in.read(new char[length], 0, length) < 0) {
            throw new IOException("the response has no body");
        }
    }

    private static String request(int number) {
        boolean idempotent = number % 2 == 0;
        String requestLine = idempotent ? "GET /get" : "POST /put";
        String framing = idempotent ? "" : "Idempotency-Key: m" + number + "\r\nContent-Length: 0\r\n";
        return requestLine + " HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: r" + number
                + "\r\nX-Account: one\r\nX-Session-Key: k" + number % PARTITION_KEYS + "\r\nX-Time-Left: 1.9\r\n"
                + framing + "\r\n";
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
