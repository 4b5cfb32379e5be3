package laurelkeel.wire;

import java.io.IOException;

/** Signals that a peer sent more bytes without a line end than a line may have. */
public final class LineTooLongException extends IOException {
    private static final long serialVersionUID = 1L;

    private final int maxLineBytes;

    /** @param maxLineBytes how many bytes a line may have */
    public LineTooLongException(int maxLineBytes) {
        super("a line of over " + maxLineBytes + " bytes");
        this.maxLineBytes = maxLineBytes;
    }

    /** How many bytes a line may have. */
    public int maxLineBytes() {
        return maxLineBytes;
    }
}
