package laurelkeel.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks that a response is complete only if the server has ended it, for each way in which the end of a body is determined (RFC
 * 9112, sections 6.3 and 8).
 */
class ResponseEndTest {
    private static final String UNTIL_CLOSE = "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nall of it";
    private static final String LENGTH = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall of it";
    private static final String CHUNKED =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nall of it\r\n0\r\n\r\n";
    private static final String INTERIM = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    /** Responses to HEAD requests: the head of a response without the body. */
    private static final List<String> HEAD_RESPONSES = List.of(
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n");
    /** Responses whose status excludes a body, regardless of their headers. */
    private static final List<String> WITHOUT_BODY =
            List.of("HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n");

    /** How the server, or this side, ends the connection. */
    private enum Ending {
        IN_ORDER,
        RESET,
        CLOSED_LOCALLY
    }

    private final RecordingHandler handler = new RecordingHandler();
    private final NioSocketConnector connector = new NioSocketConnector(1);
    private ServerSocket server;

    @BeforeEach
    void open() throws IOException {
        server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        connector.getFilterChain().addLast("http", HttpCodec.client(new HttpLimits(1024, 8192, 64, 1024)));
        connector.setHandler(handler);
    }

    @AfterEach
    void close() throws IOException {
        connector.dispose();
        server.close();
    }

    /** Returns the messages received if the connection ends after the first {@code at} bytes of a response. */
    private List<Object> readCut(String response, int at, Ending ending) throws Exception {
        return readCut(response, at, ending, false);
    }

    private List<Object> readCut(String response, int at, Ending ending, boolean headRequest) throws Exception {
        IoSession session = connector
                .connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()))
                .awaitUninterruptibly()
                .getSession();
        try (Socket peer = server.accept()) {
            if (headRequest) {
                HttpCodec.expectHeadResponse(session);
            }
            session.write(IoBuffer.wrap("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII)));
            Peer.readRequest(peer);
            peer.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII), 0, at);
            // waits until the bytes are read, because a reset may discard bytes that were sent before it
            while (session.getReadBytes() < at) {
                Thread.onSpinWait();
            }
            if (ending == Ending.CLOSED_LOCALLY) {
                // closes this side before the server does, so that the server's orderly end has no effect
                session.closeNow().awaitUninterruptibly();
            } else if (ending == Ending.RESET) {
                peer.setSoLinger(true, 0);
            }
        }
        List<Object> all = new ArrayList<>();
        for (Object next = handler.events.poll(10, TimeUnit.SECONDS);
                next != RecordingHandler.CLOSED;
                next = handler.events.poll(10, TimeUnit.SECONDS)) {
            assertTrue(next != null, "the connection did not end");
            all.add(next);
        }
        return all;
    }

    private static boolean isComplete(List<Object> events) {
        return events.stream().anyMatch(HttpResponse.class::isInstance);
    }

    @Test
    void responseWithoutLengthIsCompleteOnlyIfTheServerEndsItInOrder() throws Exception {
        int head = UNTIL_CLOSE.indexOf("\r\n\r\n") + 4;
        for (int at = 1; at <= UNTIL_CLOSE.length(); at++) {
            assertFalse(isComplete(readCut(UNTIL_CLOSE, at, Ending.RESET)), "reset after " + at);
            assertFalse(isComplete(readCut(UNTIL_CLOSE, at, Ending.CLOSED_LOCALLY)), "closed here after " + at);
            assertEquals(at >= head, isComplete(readCut(UNTIL_CLOSE, at, Ending.IN_ORDER)), "ended after " + at);
        }
    }

    /** Asserts that a response is complete at its last byte and not before, regardless of how its connection ends. */
    private void assertCompleteAtItsLastByte(String response, boolean headRequest) throws Exception {
        for (int at = 1; at <= response.length(); at++) {
            for (Ending ending : Ending.values()) {
                assertEquals(
                        at == response.length(),
                        isComplete(readCut(response, at, ending, headRequest)),
                        response + " " + at + " " + ending);
            }
        }
    }

    @Test
    void responseWithLengthOrChunksIsCompleteAtItsLastByte() throws Exception {
        assertCompleteAtItsLastByte(LENGTH, false);
        assertCompleteAtItsLastByte(CHUNKED, false);
    }

    @Test
    void responseToHeadIsCompleteAtTheEndOfItsHead() throws Exception {
        for (String response : HEAD_RESPONSES) {
            assertCompleteAtItsLastByte(response, true);
        }
    }

    @Test
    void responseWhoseStatusExcludesBodyIsCompleteAtTheEndOfItsHead() throws Exception {
        for (String response : WITHOUT_BODY) {
            assertCompleteAtItsLastByte(response, false);
        }
    }

    @Test
    void interimResponsesAreSkipped() throws Exception {
        assertCompleteAtItsLastByte(INTERIM + LENGTH, false);
    }

    /** Reads one request without a body. */
    private static final class Peer {
        static void readRequest(Socket s) throws IOException {
            int matched = 0;
            while (matched < 4) {
                int b = s.getInputStream().read();
                matched = b == (matched % 2 == 0 ? '\r' : '\n') ? matched + 1 : 0;
            }
        }
    }
}
