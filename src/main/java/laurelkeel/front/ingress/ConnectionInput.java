package laurelkeel.front.ingress;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import laurelkeel.wire.ByteBudget;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.filterchain.IoFilter.NextFilter;
import org.apache.mina.core.session.IoSession;
import org.jspecify.annotations.Nullable;

/**
 * The input of one client's connection. While too many requests are unanswered, it decodes no further ones. It reads on
 * nevertheless and holds what it reads, because the end of the connection arrives behind it: a node that stops reading does not
 * learn that its client has left. It stops reading only when it holds {@link #MAX_HELD_BYTES} or the memory of all connections is
 * used up; until it has read everything again, {@link #isUnread} says that the state of the client is not known.
 *
 * <p>Threading: all methods are called on the connection's I/O thread, unless stated otherwise. Only that thread suspends and
 * resumes the session: MINA updates the session's interest in input and output without a lock, and updates of two threads can
 * get lost.
 */
final class ConnectionInput {
    /** The most input that one connection holds, apart from the rest of the read that reaches this limit. */
    static final int MAX_HELD_BYTES = 256 << 10;

    /** Input is decoded in pieces of this size, so that few requests are decoded beyond the limit on unanswered ones. */
    private static final int PIECE_BYTES = 2 << 10;

    private static final int MIN_CAPACITY_BYTES = 4 << 10;
    private static final byte[] EMPTY = new byte[0];

    private final IoSession session;
    private final int maxUnanswered;
    private final ByteBudget budget;

    /** Number of requests decoded, including invalid ones; incremented before {@link #unanswered}. */
    private final AtomicInteger decoded = new AtomicInteger();
    /** Incremented when a request is decoded, decremented when its response is passed to the session. */
    private final AtomicInteger unanswered = new AtomicInteger();

    private @Nullable NextFilter decoder;
    /** The held input is the part from {@link #start} to {@link #end}. */
    private byte[] held = EMPTY;

    private int start;
    private int end;
    private volatile boolean holding;
    private boolean readingStopped;
    /** The {@link System#nanoTime} at which reading stopped; 0 once it has gone on to the end of what had arrived. */
    private volatile long unreadSinceNanos;

    /**
     * Creates the input of a connection that has been opened.
     *
     * @param maxUnanswered number of unanswered requests above which no further one is decoded
     * @param budget memory for the held input of all connections
     */
    ConnectionInput(IoSession session, int maxUnanswered, ByteBudget budget) {
        this.session = session;
        this.maxUnanswered = maxUnanswered;
        this.budget = budget;
    }

    /** Handles bytes that were read: decodes as many as the limit allows and holds the rest. */
    void received(NextFilter next, IoBuffer bytes) {
        decoder = next;
        while (!holding && bytes.hasRemaining() && mayDecode()) {
            next.messageReceived(session, bytes.getSlice(Math.min(PIECE_BYTES, bytes.remaining())));
        }
        if (bytes.hasRemaining()) {
            hold(bytes);
        }
    }

    private boolean mayDecode() {
        return unanswered.get() <= maxUnanswered;
    }

    private void hold(IoBuffer bytes) {
        int count = bytes.remaining();
        makeRoom(count);
        bytes.get(held, end, count);
        end += count;
        holding = true;
        if (heldBytes() >= MAX_HELD_BYTES || budget.isExhausted()) {
            stopReading();
        }
        // checked again, because a response may have been passed on before the flag was set
        if (shouldResume()) {
            resume();
        }
    }

    private int heldBytes() {
        return end - start;
    }

    private void makeRoom(int count) {
        if (end + count <= held.length) {
            return;
        }
        int needed = heldBytes() + count;
        byte[] source = held;
        if (needed > held.length) {
            int capacity = Math.max(needed, Math.max(MIN_CAPACITY_BYTES, held.length * 2));
            budget.reserve(capacity - held.length);
            held = new byte[capacity];
        }
        System.arraycopy(source, start, held, 0, heldBytes());
        end -= start;
        start = 0;
    }

    /** Decodes held input as far as the limit allows, and reads on if there is room again. */
    void resume() {
        NextFilter next = decoder;
        while (next != null && heldBytes() > 0 && mayDecode()) {
            int from = start;
            start = Math.min(end, start + PIECE_BYTES);
            // the codec has consumed the bytes when the call returns
            next.messageReceived(session, IoBuffer.wrap(held, from, start - from));
        }
        if (heldBytes() == 0) {
            release();
            readOn();
        } else if (heldBytes() <= MAX_HELD_BYTES / 2 && !budget.isExhausted()) {
            readOn();
        }
    }

    /** Drops the held input. */
    void release() {
        budget.release(held.length);
        held = EMPTY;
        start = 0;
        end = 0;
        holding = false;
    }

    private void stopReading() {
        if (!readingStopped) {
            readingStopped = true;
            if (unreadSinceNanos == 0) {
                // the lowest bit is set because 0 means that there is no unread input
                unreadSinceNanos = System.nanoTime() | 1;
            }
            session.suspendRead();
        }
    }

    private void readOn() {
        if (readingStopped) {
            readingStopped = false;
            session.resumeRead();
        }
    }

    /** Records that a read has found no further input, so that the client is connected if reading had stopped before. */
    void drained() {
        if (unreadSinceNanos != 0) {
            unreadSinceNanos = 0;
        }
    }

    /** Counts a decoded request. */
    void requestDecoded() {
        decoded.incrementAndGet();
        unanswered.incrementAndGet();
    }

    /** Counts a response that was passed to the session; returns whether {@link #resume} should be called. Thread-safe. */
    boolean requestAnswered() {
        unanswered.decrementAndGet();
        return shouldResume();
    }

    private boolean shouldResume() {
        return holding && unanswered.get() <= maxUnanswered / 2 + 1;
    }

    /** Returns the number of requests decoded so far. Thread-safe. */
    int decodedRequests() {
        return decoded.get();
    }

    /** Returns the number of decoded requests without a response. Thread-safe. */
    int unansweredRequests() {
        return unanswered.get();
    }

    /** Whether everything that was read has been decoded, and all requests in it are answered. Thread-safe. */
    boolean isAnswered() {
        // in this order: requests are counted before the input that held them is released
        return !holding && unanswered.get() == 0;
    }

    /** Whether some input is held. Thread-safe. */
    boolean isHolding() {
        return holding;
    }

    /** Whether input may have arrived that is not read, because reading had to stop before it. Thread-safe. */
    boolean isUnread() {
        return unreadSinceNanos != 0;
    }

    /** Returns for how many milliseconds input has been unread; 0 if there is none. Thread-safe. */
    long unreadMillis() {
        long sinceNanos = unreadSinceNanos;
        return sinceNanos == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
    }
}
