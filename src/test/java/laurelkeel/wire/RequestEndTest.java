package laurelkeel.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks that a request is complete only when its last byte has arrived, regardless of how the client ends the connection before
 * that (RFC 9112, sections 6.3 and 8).
 */
class RequestEndTest {
    private static final List<String> REQUESTS = List.of(
            "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
            "HEAD / HTTP/1.1\r\nHost: a\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nall of it",
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nall of it\r\n0\r\n\r\n");

    /** How the client ends its connection. */
    private enum Ending {
        IN_ORDER,
        OUTPUT_ONLY,
        RESET
    }

    private final RecordingHandler handler = new RecordingHandler();
    private final NioSocketAcceptor acceptor = new NioSocketAcceptor(1);

    @BeforeEach
    void open() throws Exception {
        acceptor.getFilterChain().addLast("http", HttpCodec.server(new HttpLimits(1024, 8192, 64, 1024)));
        acceptor.setHandler(handler);
        acceptor.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void close() {
        acceptor.dispose();
    }

    /** Sends the first {@code at} bytes of a request, ends the connection, and returns the number of requests received. */
    private int completeRequests(String request, int at, Ending ending) throws Exception {
        try (Socket client = new Socket(
                InetAddress.getLoopbackAddress(), acceptor.getLocalAddress().getPort())) {
            IoSession session = handler.opened.poll(10, TimeUnit.SECONDS);
            client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII), 0, at);
            // waits until the bytes are read, because a reset may discard bytes that were sent before it
            while (session.getReadBytes() < at) {
                Thread.onSpinWait();
            }
            if (ending == Ending.RESET) {
                client.setSoLinger(true, 0);
            } else if (ending == Ending.OUTPUT_ONLY) {
                client.shutdownOutput();
                return countUntilClosed();
            }
        }
        return countUntilClosed();
    }

    private int countUntilClosed() throws InterruptedException {
        int requests = 0;
        for (Object next = handler.events.poll(10, TimeUnit.SECONDS);
                next != RecordingHandler.CLOSED;
                next = handler.events.poll(10, TimeUnit.SECONDS)) {
            assertTrue(next instanceof HttpRequest, "received " + next);
            requests++;
        }
        return requests;
    }

    @Test
    void requestIsCompleteAtItsLastByteAndNotBefore() throws Exception {
        for (String request : REQUESTS) {
            for (int at = 1; at <= request.length(); at++) {
                for (Ending ending : Ending.values()) {
                    assertEquals(
                            at == request.length() ? 1 : 0,
                            completeRequests(request, at, ending),
                            request + " " + at + " " + ending);
                }
            }
        }
    }
}
