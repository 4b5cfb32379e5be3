package laurelkeel.wire;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Splits UTF-8 bytes that arrive in arbitrary pieces into lines of bounded length.
 *
 * <p>A line ends with LF; one CR before the LF is dropped. The length of a line, including a CR, is limited, so that a peer
 * that never ends a line cannot exhaust memory. Not thread-safe.
 */
public final class BoundedLineReader {
    private final int maxLineBytes;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /**
     * Receives each complete line.
     *
     * @param <E> the exception that it may throw, which {@link #read} propagates
     */
    @FunctionalInterface
    public interface LineConsumer<E extends Exception> {
        /**
         * Receives one line.
         *
         * @param line the line without its terminator; may be empty
         */
        void accept(String line) throws E;
    }

    /** @param maxLineBytes maximum number of bytes in a line before its LF */
    public BoundedLineReader(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /**
     * Reads all remaining bytes of a buffer and passes each line that they complete to the consumer, in order.
     *
     * @throws LineTooLongException if a line exceeds the limit; the lines before it have been passed on, and the reader must
     *     not be used again
     * @throws E if the consumer throws it; the rest of the buffer is not read
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

    /** Returns the part of an incomplete line that has been read so far; empty if there is none. */
    public String incompleteLine() {
        return line.toString(StandardCharsets.UTF_8);
    }

    /** Returns the number of bytes before the next LF, or the number of remaining bytes if there is no LF. */
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
