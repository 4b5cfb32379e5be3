package laurelkeel.wire;

import java.io.IOException;

/** Signals that a peer sent a line that exceeds the limit on its length. */
public final class LineTooLongException extends IOException {
    private static final long serialVersionUID = 1L;

    private final int maxLineBytes;

    /** @param maxLineBytes maximum length of a line in bytes */
    public LineTooLongException(int maxLineBytes) {
        super("a line exceeds " + maxLineBytes + " bytes");
        this.maxLineBytes = maxLineBytes;
    }

    /** Returns the maximum length of a line in bytes. */
    public int maxLineBytes() {
        return maxLineBytes;
    }
}
