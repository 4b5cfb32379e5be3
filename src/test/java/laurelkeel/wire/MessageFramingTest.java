package laurelkeel.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class MessageFramingTest {
    private final MessageFraming framing = new MessageFraming();

    private void assertRejected(int status, int minorVersion, String... headers) {
        HttpProtocolException failure =
                assertThrows(HttpProtocolException.class, () -> framing.read(Headers.of(headers), minorVersion));
        assertEquals(status, failure.status(), failure.getMessage());
    }

    @Test
    void headersDetermineTheEndOfTheBody() throws Exception {
        assertEquals(MessageFraming.BodyEnd.LENGTH, framing.read(Headers.of("content-length", "12"), 1));
        assertEquals(12, framing.contentLength());
        assertEquals(MessageFraming.BodyEnd.UNSPECIFIED, framing.read(Headers.of("X-A", "b"), 1));
        assertEquals(0, framing.contentLength());
        assertEquals(MessageFraming.BodyEnd.LAST_CHUNK, framing.read(Headers.of("Transfer-Encoding", "Chunked"), 1));
    }

    @Test
    void ambiguousFramingIsRejected() {
        assertRejected(400, 1, "Content-Length", "3", "Transfer-Encoding", "chunked");
        assertRejected(400, 0, "Transfer-Encoding", "chunked");
        assertRejected(400, 1, "Content-Length", "3", "Content-Length", "3");
        assertRejected(400, 1, "Content-Length", "-3");
        assertRejected(400, 1, "Content-Length", "1" + "0".repeat(18));
        assertRejected(501, 1, "Transfer-Encoding", "gzip, chunked");
        assertRejected(501, 1, "Transfer-Encoding", "chunked", "Transfer-Encoding", "chunked");
    }
}
