package laurelkeel.front.ingress;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
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
 * A connection from a client. Pipelined requests are answered in the order in which they arrived, and one is in progress at
 * a time. The others wait in the connection's queue; while too many wait, reading from the connection is suspended.
 *
 * <p>Threading: the queue, the request in progress and {@link #write} are confined to the event loop's thread. Methods whose
 * documentation says so are called on the connection's I/O thread. All others are thread-safe.
 */
public final class ClientConnection {
    private static final AttributeKey CONNECTION = new AttributeKey(ClientConnection.class, "connection");
    private static final long NANOS_PER_TICK = 100_000;

    private final IoSession session;
    private final int maxPipelinedRequests;

    /** Number of requests read, including invalid ones; incremented before {@link #unansweredRequests}. */
    private final AtomicInteger requestsRead = new AtomicInteger();
    /** Incremented by the I/O thread when a request is read, decremented when its response is passed to the session. */
    private final AtomicInteger unansweredRequests = new AtomicInteger();

    private final AtomicBoolean occupiesSlot = new AtomicBoolean(true);
    private final AtomicReference<@Nullable CloseReason> closeReason = new AtomicReference<>();
    /** The {@link System#nanoTime} at which reading stopped before input that may have arrived; 0 while reading goes on. */
    private volatile long unreadSinceNanos;

    private volatile boolean clientEnded;
    /** Whether reading is suspended until the I/O thread has decided whether the connection may be closed. */
    private volatile boolean closePending;

    private volatile boolean lastResponseWritten;
    private volatile long idleSinceTicks;
    /** Accessed only by the I/O thread. */
    private boolean rejected;

    // the following fields are accessed only by the event loop's thread
    private final ArrayDeque<PipelinedMessage> waiting = new ArrayDeque<>();
    private boolean requestInProgress;
    private boolean closed;
    private boolean headRequest;
    private @Nullable Object currentToken;
    private final WriteStallDetector writeStall = new WriteStallDetector();

    /**
     * Creates the connection of a session, without attaching it to the session.
     *
     * @param openedTicks time when the connection opened
     */
    ClientConnection(IoSession session, int maxPipelinedRequests, long openedTicks) {
        this.session = session;
        this.maxPipelinedRequests = maxPipelinedRequests;
        this.idleSinceTicks = openedTicks;
    }

    /** Returns the connection attached to a session; null if there is none. */
    static @Nullable ClientConnection of(IoSession session) {
        return session.getAttribute(CONNECTION) instanceof ClientConnection connection ? connection : null;
    }

    /** Attaches the connection to its session, where {@link #of} finds it. */
    void attach() {
        session.setAttribute(CONNECTION, this);
    }

    /** Returns the id that identifies the connection in log lines. */
    public long id() {
        return session.getId();
    }

    /** Counts a request that was read, and suspends reading if too many are unanswered; called on the I/O thread. */
    void requestRead() {
        requestsRead.incrementAndGet();
        // counted on the I/O thread, so that a client that floods is slowed down even while the event loop is busy
        if (unansweredRequests.incrementAndGet() > maxPipelinedRequests) {
            // the lowest bit is set because 0 means that reading goes on
            unreadSinceNanos = System.nanoTime() | 1;
            session.suspendRead();
            resumeReading();
        }
    }

    /** Records that the client has ended its output, or that the connection has failed. Thread-safe. */
    void markClientEnded() {
        clientEnded = true;
    }

    /** Returns what is known about the client at this moment. */
    public ClientState clientState() {
        if (clientEnded) {
            return ClientState.ENDED;
        }
        return unreadSinceNanos == 0 ? ClientState.CONNECTED : ClientState.INPUT_UNREAD;
    }

    /** Returns for how many milliseconds reading has been stopped; 0 while it goes on. */
    public long unreadMillis() {
        long sinceNanos = unreadSinceNanos;
        return sinceNanos == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
    }

    /** Counts a response that was passed to the session, and resumes reading when few enough requests are unanswered. */
    void requestAnswered() {
        if (unansweredRequests.decrementAndGet() <= maxPipelinedRequests / 2 + 1) {
            resumeReading();
        }
    }

    /** Records that all requests read so far have been answered. */
    void allRequestsAnswered() {
        unansweredRequests.set(0);
    }

    /** Resumes reading, unless too many requests are unanswered or a close is pending. */
    void resumeReading() {
        if (unansweredRequests.get() <= maxPipelinedRequests && !closePending && session.isReadSuspended()) {
            unreadSinceNanos = 0;
            session.resumeRead();
        }
    }

    int requestsRead() {
        return requestsRead.get();
    }

    int unansweredRequests() {
        return unansweredRequests.get();
    }

    /** Whether all requests read so far are answered and further ones are accepted. */
    boolean awaitsNextRequest() {
        return unansweredRequests.get() == 0 && !lastResponseWritten;
    }

    /** Returns the time since the first byte of a partially read request; 0 if there is none. */
    long partialRequestTicks() {
        long sinceNanos = HttpCodec.partialMessageSinceNanos(session);
        return sinceNanos == 0 ? 0 : Math.max(1, (System.nanoTime() - sinceNanos) / NANOS_PER_TICK);
    }

    boolean hasPartialRequest() {
        return HttpCodec.partialMessageSinceNanos(session) != 0;
    }

    /** Returns the time when the connection opened or its most recent response was passed to the session. */
    long idleSinceTicks() {
        return idleSinceTicks;
    }

    void setIdleSinceTicks(long ticks) {
        idleSinceTicks = ticks;
    }

    /** Records why the connection ends; only the first reason is kept. */
    void recordCloseReason(CloseReason reason) {
        closeReason.compareAndSet(null, reason);
    }

    /** Returns the recorded reason; if there is none, a write has failed, which MINA reports only by closing the session. */
    CloseReason closeReason() {
        CloseReason reason = closeReason.get();
        return reason == null ? CloseReason.CONNECTION_ERROR : reason;
    }

    boolean isClosePending() {
        return closePending;
    }

    /**
     * Suspends reading, and runs a task on the I/O thread after it has handled all input that it had already read.
     *
     * @param decision decides whether to close the connection or to resume reading
     */
    void suspendReadingThen(Runnable decision) {
        closePending = true;
        session.suspendRead();
        session.write(HttpCodec.FlushMarker.INSTANCE).addListener(written -> decision.run());
    }

    /** Clears the pending close; does not resume reading. */
    void cancelPendingClose() {
        closePending = false;
    }

    /** Marks the connection's slot as released; returns false if it does not occupy one. */
    boolean markSlotReleased() {
        return occupiesSlot.compareAndSet(true, false);
    }

    /** Marks a slot as occupied again; returns false if the connection already occupies one. */
    boolean markSlotOccupied() {
        return occupiesSlot.compareAndSet(false, true);
    }

    boolean isClosing() {
        return session.isClosing();
    }

    void closeNow() {
        session.closeNow();
    }

    /** Closes the connection after the pending responses are written. */
    void closeOnFlush() {
        session.closeOnFlush();
    }

    /** Rejects the connection with a response and closes it; called on the I/O thread. */
    void reject(HttpResponse response) {
        rejected = true;
        recordCloseReason(CloseReason.CONNECTION_LIMIT_REACHED);
        session.write(response);
        session.closeOnFlush();
    }

    /** Whether the connection was rejected on opening and its requests are discarded; called on the I/O thread. */
    boolean isRejected() {
        return rejected;
    }

    /** Appends a message to the queue. */
    void enqueue(PipelinedMessage message) {
        waiting.add(message);
    }

    /** Removes and returns the next queued message; null if the queue is empty. */
    @Nullable
    PipelinedMessage pollWaiting() {
        return waiting.poll();
    }

    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** Whether a message is queued and may be handled now. */
    boolean isReadyForNext() {
        return !requestInProgress && !closed && !lastResponseWritten && !waiting.isEmpty();
    }

    /** Whether new messages are discarded because no further response can be written. */
    boolean discardsInput() {
        return closed || lastResponseWritten;
    }

    boolean isRequestInProgress() {
        return requestInProgress;
    }

    void setRequestInProgress(boolean inProgress) {
        requestInProgress = inProgress;
    }

    /** Sets whether the request to be answered next is a HEAD request. */
    void setHeadRequest(boolean head) {
        headRequest = head;
    }

    boolean isHeadRequest() {
        return headRequest;
    }

    /** Sets the token of the request in progress, which is passed to {@link IngressListener#onDisconnect}. */
    public void setCurrentToken(@Nullable Object token) {
        currentToken = token;
    }

    @Nullable
    Object currentToken() {
        return currentToken;
    }

    /** Whether the connection has ended or accepts no further response. */
    public boolean isClosed() {
        return closed;
    }

    void markClosed() {
        closed = true;
    }

    /** Returns the time for which no byte of the pending responses was written; 0 if no response is pending. */
    long writeStalledTicks(long nowTicks) {
        return writeStall.stalledTicks(session.getWrittenBytes(), session.getScheduledWriteMessages() > 0, nowTicks);
    }

    /**
     * Writes a response; omits its body if the request was a HEAD request.
     *
     * @param last whether to close the connection after this response
     */
    WriteFuture write(HttpResponse response, boolean last) {
        HttpResponse message = headRequest
                ? new HttpResponse(response.status(), 1, response.headers(), response.body(), true)
                : response;
        return write((Object) message, last);
    }

    /** Writes a message; if it is the last one, closes the connection after it. */
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
