package laurelkeel.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which bytes behind a request may be a pipelined request. */
class RequestStartTest {
    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Test
    void aRequestIsPossibleHoweverMuchOfItHasArrived() {
        for (String request : List.of("GET /a HTTP/1.1\r\n", "\r\nPOST /a HTTP/1.1\r\n", "OPTIONS * HTTP/1.1\r\n")) {
            for (int length = 0; length <= request.length(); length++) {
                assertTrue(RequestStart.isPossible(bytes(request.substring(0, length))), request.substring(0, length));
            }
        }
    }

    @Test
    void otherBytesAreNoRequest() {
        for (String other : List.of("efgh", "{}", " GET /", "\0", "GETS", "get /", "HTTP/1.1 200 OK", "\r\n4\r\n")) {
            assertFalse(RequestStart.isPossible(bytes(other)), other);
        }
    }

    @Test
    void theBytesAreLeftInTheirBuffer() {
        ByteBuffer rest = bytes("x\r\nGET /a").position(1);
        assertTrue(RequestStart.isPossible(rest));
        assertEquals(1, rest.position());
    }
}
