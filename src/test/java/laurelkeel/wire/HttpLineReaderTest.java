package laurelkeel.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class HttpLineReaderTest {
    private static final int MAX_BYTES = 5;

    private static String read(HttpLineReader reader, String input) throws HttpProtocolException {
        return reader.read(ByteBuffer.wrap(input.getBytes(StandardCharsets.ISO_8859_1)), MAX_BYTES, 431);
    }

    private static void assertRejected(int status, String input) {
        HttpProtocolException failure =
                assertThrows(HttpProtocolException.class, () -> read(new HttpLineReader(false), input));
        assertEquals(status, failure.status(), failure.getMessage());
    }

    @Test
    void lineMayArriveInPieces() throws Exception {
        HttpLineReader reader = new HttpLineReader(false);
        assertTrue(reader.isAtLineStart());
        assertNull(read(reader, "ab"));
        assertNull(read(reader, "c\r"));
        assertFalse(reader.isAtLineStart());
        assertEquals("abc", read(reader, "\n"));
        assertTrue(reader.isAtLineStart());
        assertEquals("", read(reader, "\r\n"));
    }

    @Test
    void bareLineFeedEndsLineOnlyIfAccepted() throws Exception {
        assertEquals("ab", read(new HttpLineReader(true), "ab\n"));
        assertRejected(400, "ab\n");
    }

    @Test
    void bareCarriageReturnsZeroBytesAndLongLinesAreRejected() throws Exception {
        assertRejected(400, "a\rb\r\n");
        assertRejected(400, "a\0");
        assertRejected(431, "abcdef");
        assertEquals("abcde", read(new HttpLineReader(false), "abcde\r\n"));
    }
}
