package laurelkeel.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * Reads the lines of a message from bytes that arrive in arbitrary pieces. It rejects input that other HTTP implementations
 * could interpret differently: a bare CR and, in requests, a bare LF. In responses a bare LF ends a line (RFC 9112, section 2.2).
 *
 * <p>Not thread-safe.
 */
final class HttpLineReader {
    private static final int INITIAL_BYTES = 256;

    private final boolean acceptsBareLineFeed;
    private byte[] line = new byte[INITIAL_BYTES];
    private int length;
    private boolean sawCarriageReturn;

    HttpLineReader(boolean acceptsBareLineFeed) {
        this.acceptsBareLineFeed = acceptsBareLineFeed;
    }

    /** Whether no byte of the next line has been read. */
    boolean isAtLineStart() {
        return length == 0 && !sawCarriageReturn;
    }

    /**
     * Reads up to the end of a line.
     *
     * @param tooLongStatus the status of the error if the line exceeds {@code maxBytes}
     * @return the line without its terminator, or null if the input ends before the line does
     */
    @Nullable
    String read(ByteBuffer in, int maxBytes, int tooLongStatus) throws HttpProtocolException {
        while (in.hasRemaining()) {
            byte next = in.get();
            if (next == '\n') {
                return endLine();
            }
            if (sawCarriageReturn) {
                throw new HttpProtocolException(400, "a CR without LF");
            }
            if (next == '\r') {
                sawCarriageReturn = true;
            } else {
                append(next, maxBytes, tooLongStatus);
            }
        }
        return null;
    }

    private String endLine() throws HttpProtocolException {
        if (!sawCarriageReturn && !acceptsBareLineFeed) {
            throw new HttpProtocolException(400, "a LF without CR");
        }
        String text = new String(line, 0, length, StandardCharsets.ISO_8859_1);
        length = 0;
        sawCarriageReturn = false;
        return text;
    }

    private void append(byte next, int maxBytes, int tooLongStatus) throws HttpProtocolException {
        if (next == 0) {
            throw new HttpProtocolException(400, "a zero byte in a line");
        }
        if (length >= maxBytes) {
            throw new HttpProtocolException(tooLongStatus, "a line is over " + maxBytes + " bytes");
        }
        if (length == line.length) {
            line = Arrays.copyOf(line, line.length * 2);
        }
        line[length++] = next;
    }
}
