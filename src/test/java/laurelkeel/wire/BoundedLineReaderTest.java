package laurelkeel.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class BoundedLineReaderTest {
    private static final int MAX_LINE_BYTES = 8;

    private final BoundedLineReader reader = new BoundedLineReader(MAX_LINE_BYTES);
    private final List<String> lines = new ArrayList<>();

    private void read(String text) throws LineTooLongException {
        read(text.getBytes(StandardCharsets.UTF_8));
    }

    private void read(byte[] bytes) throws LineTooLongException {
        reader.<RuntimeException>read(ByteBuffer.wrap(bytes), lines::add);
    }

    @Test
    void linesAreReadFromArbitraryPieces() throws Exception {
        byte[] bytes = "a\u00e9\r\n\nlast\n".getBytes(StandardCharsets.UTF_8);
        for (byte each : bytes) {
            read(new byte[] {each});
        }
        read(bytes);
        assertEquals(List.of("a\u00e9", "", "last", "a\u00e9", "", "last"), lines);
    }

    @Test
    void incompleteLineIsKeptUntilItsEndArrives() throws Exception {
        read("one\ntw");
        assertEquals(List.of("one"), lines);
        assertEquals("tw", reader.incompleteLine());
        read("o\n");
        assertEquals(List.of("one", "two"), lines);
        assertEquals("", reader.incompleteLine());
    }

    @Test
    void onlyTheCarriageReturnBeforeTheLineFeedIsDropped() throws Exception {
        read("a\rb\r\r\n");
        assertEquals(List.of("a\rb\r"), lines);
    }

    @Test
    void lineOfMaximumLengthIsRead() throws Exception {
        read("12345678\n");
        read("1234");
        read("5678\n");
        assertEquals(List.of("12345678", "12345678"), lines);
    }

    @Test
    void tooLongLineIsRejectedAfterTheLinesBeforeIt() {
        LineTooLongException tooLong = assertThrows(LineTooLongException.class, () -> read("good\n123456789\n"));
        assertEquals(MAX_LINE_BYTES, tooLong.maxLineBytes());
        assertEquals(List.of("good"), lines);
    }

    @Test
    void unterminatedLineIsRejectedWhenItIsTooLong() throws Exception {
        read("12345678");
        assertThrows(LineTooLongException.class, () -> read("9"));
    }

    @Test
    void exceptionOfTheConsumerIsPropagated() {
        assertThrows(
                IOException.class,
                () -> reader.<IOException>read(ByteBuffer.wrap(new byte[] {'a', '\n'}), line -> {
                    throw new IOException("thrown by the test");
                }));
    }
}
