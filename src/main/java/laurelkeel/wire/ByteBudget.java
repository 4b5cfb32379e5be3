package laurelkeel.wire;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bytes that all bodies of one side may take together, half read or held. Limits a message do not bound a process:
 * a few thousand connections, each with a body within its limit, are more than any heap.
 */
public final class ByteBudget {
    private final long most;
    private final AtomicLong reservedBytes = new AtomicLong();

    public ByteBudget(long most) {
        this.most = most;
    }

    /**
     * An eighth of the heap for each of two sides: a body stands twice while it goes on, as it was read and as it is
     * written, and half must stay for all else.
     */
    public static ByteBudget eighthOfHeap() {
        return new ByteBudget(Runtime.getRuntime().maxMemory() / 8);
    }

    /** False where there is no room for so much more. */
    boolean tryReserve(int bytes) {
        if (reservedBytes.addAndGet(bytes) > most) {
            reservedBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /** Whoever dealt with a body says so, once. */
    public void release(int bytes) {
        reservedBytes.addAndGet(-bytes);
    }

    public long reservedBytes() {
        return reservedBytes.get();
    }
}
