package laurelkeel.front.ingress;

import java.util.ArrayDeque;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import laurelkeel.wire.HttpCodec;
import laurelkeel.wire.HttpResponse;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.jspecify.annotations.Nullable;

/**
 * One connection of a client. Its requests are answered in their order, one in progress at a time; the others wait in the
 * connection's queue, and while too many wait the connection is not read.
 *
 * <p>Threading: the queue, the request in progress and {@link #write} belong to the event loop's thread; methods that say so
 * are called on the connection's I/O thread; all others are thread-safe.
 */
public final class ClientConnection {
    private static final AttributeKey CONNECTION = new AttributeKey(ClientConnection.class, "connection");
    private static final long NANOS_PER_TICK = 100_000;

    private final IoSession session;
    private final int maxPipelinedRequests;

    /** Requests read off the connection, complete or invalid; counted before they are counted as unanswered. */
    private final AtomicInteger requestsRead = new AtomicInteger();
    /** Counted up by the I/O thread as a request is read, and down as its response is handed over. */
    private final AtomicInteger unansweredRequests = new AtomicInteger();

    private final AtomicBoolean occupiesSlot = new AtomicBoolean(true);
    private final AtomicReference<@Nullable CloseReason> closeReason = new AtomicReference<>();
    /** Set while reading is suspended until the I/O thread has decided whether the connection may be closed. */
    private volatile boolean closePending;

    private volatile boolean lastResponseWritten;
    private volatile long idleSinceTicks;
    /** Set and read by the I/O thread alone. */
    private boolean rejected;

    // the event loop's thread alone
    private final ArrayDeque<PipelinedMessage> waiting = new ArrayDeque<>();
    private boolean requestInProgress;
    private boolean closed;
    private boolean headRequest;
    private @Nullable Object currentToken;
    private final WriteStallDetector writeStall = new WriteStallDetector();

    /**
     * Creates the connection of a session and attaches it to that.
     *
     * @param openedTicks when the connection opened
     */
    ClientConnection(IoSession session, int maxPipelinedRequests, long openedTicks) {
        this.session = session;
        this.maxPipelinedRequests = maxPipelinedRequests;
        this.idleSinceTicks = openedTicks;
    }

    static @Nullable ClientConnection of(IoSession session) {
        return session.getAttribute(CONNECTION) instanceof ClientConnection connection ? connection : null;
    }

    void attach() {
        session.setAttribute(CONNECTION, this);
    }

    /** Returns its number, which names it in logs. */
    public long id() {
        return session.getId();
    }

    // ---- reading and backpressure

    /** Counts a request that was read, and stops reading while too many wait; on the I/O thread. */
    void requestRead() {
        requestsRead.incrementAndGet();
        // counted here and not by the event loop: while that is busy, a client that floods must be slowed down too
        if (unansweredRequests.incrementAndGet() > maxPipelinedRequests) {
            session.suspendRead();
            resumeReading();
        }
    }

    /** Counts a response that was handed over, and reads on once few requests wait. */
    void requestAnswered() {
        if (unansweredRequests.decrementAndGet() <= maxPipelinedRequests / 2 + 1) {
            resumeReading();
        }
    }

    /** Records that all requests read so far have their response. */
    void allRequestsAnswered() {
        unansweredRequests.set(0);
    }

    /** Reads on, unless too many requests wait or a close is pending. */
    void resumeReading() {
        if (unansweredRequests.get() <= maxPipelinedRequests && !closePending && session.isReadSuspended()) {
            session.resumeRead();
        }
    }

    int requestsRead() {
        return requestsRead.get();
    }

    int unansweredRequests() {
        return unansweredRequests.get();
    }

    boolean owesNothing() {
        return unansweredRequests.get() == 0 && !lastResponseWritten;
    }

    /** Returns how long a request has been read in part; 0 where none is. */
    long partialRequestTicks() {
        long sinceNanos = HttpCodec.partialMessageSinceNanos(session);
        return sinceNanos == 0 ? 0 : Math.max(1, (System.nanoTime() - sinceNanos) / NANOS_PER_TICK);
    }

    boolean hasPartialRequest() {
        return HttpCodec.partialMessageSinceNanos(session) != 0;
    }

    /** Returns when the connection opened or its last response was handed over. */
    long idleSinceTicks() {
        return idleSinceTicks;
    }

    void idleSince(long ticks) {
        idleSinceTicks = ticks;
    }

    // ---- closing

    /** Records why the connection ends; the first reason counts. */
    void recordCloseReason(CloseReason reason) {
        closeReason.compareAndSet(null, reason);
    }

    /** Returns the recorded reason; without one, the node itself has ended. */
    CloseReason closeReason() {
        CloseReason reason = closeReason.get();
        return reason == null ? CloseReason.NODE_STOPPED : reason;
    }

    boolean isClosePending() {
        return closePending;
    }

    /**
     * Stops reading, and runs a task on the I/O thread once that has handled what it had read before.
     *
     * @param decision decides whether the connection is closed or read on
     */
    void suspendReadingThen(Runnable decision) {
        closePending = true;
        session.suspendRead();
        session.write(HttpCodec.FlushMarker.INSTANCE).addListener(written -> decision.run());
    }

    /** Reads on after a pending close was given up. */
    void abandonClose() {
        closePending = false;
    }

    /** Gives up its slot; returns false where it has none. */
    boolean leaveSlot() {
        return occupiesSlot.compareAndSet(true, false);
    }

    /** Takes a slot again; returns false where it has one. */
    boolean retakeSlot() {
        return occupiesSlot.compareAndSet(false, true);
    }

    boolean isClosing() {
        return session.isClosing();
    }

    void closeNow() {
        session.closeNow();
    }

    /** Closes it once the pending responses are written. */
    void closeOnFlush() {
        session.closeOnFlush();
    }

    /** Rejects the connection with a response; on the I/O thread. */
    void reject(HttpResponse response) {
        rejected = true;
        recordCloseReason(CloseReason.CONNECTION_LIMIT_REACHED);
        session.write(response);
        session.closeOnFlush();
    }

    /** Whether it was rejected as it opened, so that no request on it may be accepted; on the I/O thread. */
    boolean isRejected() {
        return rejected;
    }

    // ---- on the event loop's thread

    void enqueue(PipelinedMessage message) {
        waiting.add(message);
    }

    /** Removes and returns the next message; null for none. */
    @Nullable
    PipelinedMessage pollWaiting() {
        return waiting.poll();
    }

    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** Whether the next message may be handled now. */
    boolean isReadyForNext() {
        return !requestInProgress && !closed && !lastResponseWritten && !waiting.isEmpty();
    }

    /** Whether messages are discarded since no response can be written any more. */
    boolean discardsInput() {
        return closed || lastResponseWritten;
    }

    boolean isRequestInProgress() {
        return requestInProgress;
    }

    void setRequestInProgress(boolean inProgress) {
        requestInProgress = inProgress;
    }

    /** Records whether the request that is answered next is a HEAD request. */
    void setHeadRequest(boolean head) {
        headRequest = head;
    }

    boolean isHeadRequest() {
        return headRequest;
    }

    /** Sets the token of the request in progress, which comes back with {@link IngressListener#onDisconnect}. */
    public void setCurrentToken(@Nullable Object token) {
        currentToken = token;
    }

    @Nullable
    Object currentToken() {
        return currentToken;
    }

    /** Whether the connection has ended, or takes no further response. */
    public boolean gone() {
        return closed;
    }

    void markClosed() {
        closed = true;
    }

    /** Returns how long pending responses have made no progress; 0 where none is pending. */
    long writeStalledTicks(long nowTicks) {
        return writeStall.stalledTicks(session.getWrittenBytes(), session.getScheduledWriteMessages() > 0, nowTicks);
    }

    /**
     * Writes a response, without its body if the request was a HEAD request.
     *
     * @param last whether to close the connection behind it
     */
    WriteFuture write(HttpResponse response, boolean last) {
        HttpResponse message = headRequest
                ? new HttpResponse(response.status(), 1, response.headers(), response.body(), true)
                : response;
        return write((Object) message, last);
    }

    /** Writes a message, and closes the connection behind it if it is the last. */
    WriteFuture write(Object message, boolean last) {
        WriteFuture written = session.write(message);
        if (last) {
            lastResponseWritten = true;
            recordCloseReason(CloseReason.LAST_RESPONSE_WRITTEN);
            session.closeOnFlush();
        }
        return written;
    }
}
