package laurelkeel.wire;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The bytes that all bodies of one side may occupy together, complete or partial. Limits on single messages do not bound a
 * process: some thousand connections, each with a body within its limit, exceed any heap.
 *
 * <p>Thread-safe.
 */
public final class ByteBudget {
    private static final int HEAP_SHARE = 8;

    private final long maxBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    /** Creates a budget of {@code maxBytes}. */
    public ByteBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Returns an eighth of the heap, for each of two sides: a body exists twice while it is forwarded, as it was read and as
     * it is written, and half of the heap must stay for the rest.
     */
    public static ByteBudget eighthOfHeap() {
        return new ByteBudget(Runtime.getRuntime().maxMemory() / HEAP_SHARE);
    }

    /** Reserves bytes; returns false, and reserves none, where they are over the budget. */
    boolean tryReserve(int bytes) {
        if (reservedBytes.addAndGet(bytes) > maxBytes) {
            reservedBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /** Releases reserved bytes; called once for each body by whoever handled it. */
    public void release(int bytes) {
        reservedBytes.addAndGet(-bytes);
    }

    /** Returns the bytes that are reserved now. */
    public long reservedBytes() {
        return reservedBytes.get();
    }
}
