package laurelkeel.wire;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Collects the body of the message being read, subject to a size limit and to a memory budget shared by all bodies; or passes
 * the parts of the body on as they arrive. Not thread-safe.
 */
final class BodyBuffer {
    private static final byte[] EMPTY = new byte[0];
    private static final int MIN_GROWTH_BYTES = 512;

    private final int maxBytes;
    private final ByteBudget budget;
    /** Receives the parts of a body as they arrive; null if bodies are collected. */
    private final @Nullable Consumer<byte[]> parts;

    private byte[] bytes = EMPTY;
    private int length;

    BodyBuffer(int maxBytes, ByteBudget budget, @Nullable Consumer<byte[]> parts) {
        this.maxBytes = maxBytes;
        this.budget = budget;
        this.parts = parts;
    }

    /** Starts the body of the next message. */
    void begin() {
        length = 0;
    }

    boolean isEmpty() {
        return length == 0;
    }

    /**
     * Checks that a number of further bytes is within the limit.
     *
     * @throws HttpProtocolException if the body would exceed its limit
     */
    void checkLimit(long moreBytes) throws HttpProtocolException {
        if (length + moreBytes > maxBytes) {
            throw new HttpProtocolException(413, "the body is over " + maxBytes + " bytes");
        }
    }

    /**
     * Appends bytes to the body. Memory is reserved only as bytes arrive, so that clients cannot exhaust the budget just by
     * sending large Content-Length values on many connections.
     *
     * @throws HttpProtocolException if the body exceeds its limit or the budget
     */
    void append(ByteBuffer in, int count) throws HttpProtocolException {
        if (parts != null) {
            byte[] part = new byte[count];
            in.get(part);
            parts.accept(part);
            return;
        }
        checkLimit(count);
        if (length + count > bytes.length) {
            grow(length + count);
        }
        in.get(bytes, length, count);
        length += count;
    }

    private void grow(int neededBytes) throws HttpProtocolException {
        int capacity = Math.min(maxBytes, Math.max(neededBytes, bytes.length * 2 + MIN_GROWTH_BYTES));
        if (!budget.tryReserve(capacity - bytes.length)) {
            throw HttpProtocolException.bodyBudgetExhausted();
        }
        bytes = Arrays.copyOf(bytes, capacity);
    }

    /** Returns the body; its bytes stay reserved until the handler of the message releases them. */
    byte[] take() {
        byte[] body = length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
        budget.release(bytes.length - length);
        bytes = EMPTY;
        return body;
    }

    /** Discards the collected bytes and releases their memory. */
    void discard() {
        budget.release(bytes.length);
        bytes = EMPTY;
        length = 0;
    }
}
