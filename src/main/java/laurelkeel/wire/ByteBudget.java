package laurelkeel.wire;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A limit on the total size of all message bodies on one side (clients or endpoints), complete or partial. The limit on single
 * messages does not bound the memory of the process: a few thousand connections, each with a body within that limit, exceed any
 * heap.
 *
 * <p>Thread-safe.
 */
public final class ByteBudget {
    private static final int HEAP_SHARE = 8;
    private static final int READ_AHEAD_HEAP_SHARE = 16;

    private final long maxBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    /** Creates a budget of {@code maxBytes} bytes. */
    public ByteBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Returns a budget of an eighth of the heap, intended for each of the two sides. While a body is forwarded, it exists
     * twice, as read and as written; so both sides use at most half of the heap, and the other half is left for everything
     * else.
     */
    public static ByteBudget eighthOfHeap() {
        return new ByteBudget(Runtime.getRuntime().maxMemory() / HEAP_SHARE);
    }

    /** Returns a budget of a sixteenth of the heap, for input of clients that is read before it can be handled. */
    public static ByteBudget sixteenthOfHeap() {
        return new ByteBudget(Runtime.getRuntime().maxMemory() / READ_AHEAD_HEAP_SHARE);
    }

    /** Reserves bytes; returns false, without reserving any, if they exceed the budget. */
    boolean tryReserve(int bytes) {
        if (reservedBytes.addAndGet(bytes) > maxBytes) {
            reservedBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /** Reserves bytes for what has been read already, even if they exceed the budget. */
    public void reserve(int bytes) {
        reservedBytes.addAndGet(bytes);
    }

    /** Whether no further bytes should be read. */
    public boolean isExhausted() {
        return reservedBytes.get() >= maxBytes;
    }

    /** Releases reserved bytes; called once for each body by the component that handled it. */
    public void release(int bytes) {
        reservedBytes.addAndGet(-bytes);
    }

    /** Returns the number of bytes that are currently reserved. */
    public long reservedBytes() {
        return reservedBytes.get();
    }
}
