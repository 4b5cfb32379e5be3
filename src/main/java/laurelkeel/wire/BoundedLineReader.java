package laurelkeel.wire;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Splits UTF-8 bytes that arrive in arbitrary pieces into lines of bounded length.
 *
 * <p>A line ends with LF; one CR before it is dropped. A peer that never ends its line cannot use up the memory: a line
 * may hold a fixed number of bytes, a CR included. Not thread-safe.
 */
public final class BoundedLineReader {
    private final int maxLineBytes;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /**
     * Receives each complete line.
     *
     * @param <E> what it may throw; it passes through {@link #read}
     */
    @FunctionalInterface
    public interface LineConsumer<E extends Exception> {
        /**
         * Receives one line.
         *
         * @param line without its line end; may be empty
         */
        void accept(String line) throws E;
    }

    /** @param maxLineBytes how many bytes a line may have before its LF */
    public BoundedLineReader(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /**
     * Reads all remaining bytes of a buffer and hands over each line that they complete, in order.
     *
     * @throws LineTooLongException where a line exceeds the bound; the lines before it have been handed over, and the
     *     reader is of no further use
     * @throws E where the consumer throws it; the rest of the buffer is not read
     */
    public <E extends Exception> void read(ByteBuffer bytes, LineConsumer<? extends E> consumer)
            throws LineTooLongException, E {
        while (bytes.hasRemaining()) {
            int length = lengthUpToLineEnd(bytes);
            boolean complete = length < bytes.remaining();
            append(bytes, length);
            if (complete) {
                bytes.get();
                consumer.accept(takeLine());
            }
        }
    }

    /** What has been read of the line that is not complete yet; empty where there is none. */
    public String incompleteLine() {
        return line.toString(StandardCharsets.UTF_8);
    }

    /** The number of bytes before the next LF, or all that remain where there is none. */
    private static int lengthUpToLineEnd(ByteBuffer bytes) {
        int length = 0;
        while (length < bytes.remaining() && bytes.get(bytes.position() + length) != '\n') {
            length++;
        }
        return length;
    }

    private void append(ByteBuffer bytes, int length) throws LineTooLongException {
        if (length > maxLineBytes - line.size()) {
            throw new LineTooLongException(maxLineBytes);
        }
        byte[] part = new byte[length];
        bytes.get(part);
        line.write(part, 0, length);
    }

    private String takeLine() {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
}
