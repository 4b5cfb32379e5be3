package laurelkeel.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which bytes behind a response count as a second copy of it. */
class SurplusInputTest {
    private static final HttpResponse RESPONSE = new HttpResponse(200, new Headers(), new byte[0]);

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Test
    void aCopyIsRecognizedFromItsVersionOn() {
        String copy = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
        for (int length = 0; length <= copy.length(); length++) {
            assertEquals(
                    length >= "HTTP/1.1".length(),
                    SurplusInput.isCopyOf(RESPONSE, bytes(copy.substring(0, length))),
                    copy.substring(0, length));
        }
    }

    @Test
    void otherBytesAreNoCopy() {
        for (String other : List.of(
                "-whole",
                "\r\n",
                "\0\1",
                "HTTP/1.0 200 OK\r\n",
                "HTTP/1.1 500 E\r\n",
                "HTTP/1.1-whole",
                " HTTP/1.1 200")) {
            assertFalse(SurplusInput.isCopyOf(RESPONSE, bytes(other)), other);
        }
    }

    @Test
    void theBytesAreLeftInTheirBuffer() {
        ByteBuffer surplus = bytes("xHTTP/1.1 200 OK").position(1);
        assertTrue(SurplusInput.isCopyOf(RESPONSE, surplus));
        assertEquals(1, surplus.position());
    }
}
