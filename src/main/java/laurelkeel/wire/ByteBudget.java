package laurelkeel.wire;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bytes that all bodies of one side may take together, half read or held. Limits a message do not bound a process:
 * a few thousand connections, each with a body within its limit, are more than any heap.
 */
public final class ByteBudget {
    private final long most;
    private final AtomicLong held = new AtomicLong();

    public ByteBudget(long most) {
        this.most = most;
    }

    /**
     * An eighth of the heap for each of two sides: a body stands twice while it goes on, as it was read and as it is
     * written, and half must stay for all else.
     */
    public static ByteBudget eighth() {
        return new ByteBudget(Runtime.getRuntime().maxMemory() / 8);
    }

    /** False where there is no room for so much more. */
    boolean take(int bytes) {
        if (held.addAndGet(bytes) > most) {
            held.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /** Whoever dealt with a body says so, once. */
    public void give(int bytes) {
        held.addAndGet(-bytes);
    }

    public long held() {
        return held.get();
    }
}
