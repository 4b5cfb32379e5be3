package laurelkeel.front.ingress;

import java.util.ArrayDeque;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import laurelkeel.wire.ByteBudget;
import laurelkeel.wire.HttpCodec;
import laurelkeel.wire.HttpResponse;
import laurelkeel.wire.InputListener;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.jspecify.annotations.Nullable;

/**
 * A connection from a client. Pipelined requests are answered in the order in which they arrived, and one is in progress at
 * a time. The others wait in the connection's queue, or undecoded in its {@link ConnectionInput}. The next one starts when the
 * response before it is written, so that a client that does not read its responses makes the node hold no further ones.
 *
 * <p>Threading: the queue, the request in progress and {@link #write} are confined to the event loop's thread. Methods whose
 * documentation says so are called on the connection's I/O thread. All others are thread-safe.
 */
public final class ClientConnection {
    private static final AttributeKey CONNECTION = new AttributeKey(ClientConnection.class, "connection");
    private static final long NANOS_PER_TICK = 100_000;

    private final IoSession session;
    private final ConnectionInput input;

    private final AtomicBoolean occupiesSlot = new AtomicBoolean(true);
    private final AtomicReference<@Nullable CloseReason> closeReason = new AtomicReference<>();
    private volatile boolean clientEnded;
    /** Whether a task that decides about closing the connection is queued for the I/O thread. */
    private volatile boolean closePending;

    private final AtomicBoolean resumePending = new AtomicBoolean();
    private volatile boolean lastResponseWritten;
    private volatile long idleSinceTicks;
    /** Accessed only by the I/O thread. */
    private boolean rejected;

    // the following fields are accessed only by the event loop's thread
    private final ArrayDeque<PipelinedMessage> waiting = new ArrayDeque<>();
    private boolean requestInProgress;
    /** The write of the most recent response; null if there is none. */
    private @Nullable WriteFuture latestWrite;
    /** The write for whose completion the next queued message waits; null if none has waited yet. */
    private @Nullable WriteFuture awaitedWrite;
    /** Whether the messages that were read before the client ended its output have all been queued. */
    private boolean inputClosed;

    private boolean closed;
    private boolean headRequest;
    private @Nullable Object currentToken;
    private final WriteStallDetector writeStall = new WriteStallDetector();

    /**
     * Creates the connection of a session, without attaching it to the session.
     *
     * @param maxPipelinedRequests number of unanswered requests above which no further one is decoded
     * @param readAheadBudget memory for the input that all connections hold undecoded
     * @param openedTicks time when the connection opened
     */
    ClientConnection(IoSession session, int maxPipelinedRequests, ByteBudget readAheadBudget, long openedTicks) {
        this.session = session;
        this.input = new ConnectionInput(session, maxPipelinedRequests, readAheadBudget);
        this.idleSinceTicks = openedTicks;
    }

    /** Returns the connection attached to a session; null if there is none. */
    static @Nullable ClientConnection of(IoSession session) {
        return session.getAttribute(CONNECTION) instanceof ClientConnection connection ? connection : null;
    }

    /** Attaches the connection to its session, where {@link #of} finds it. */
    void attach() {
        session.setAttribute(InputListener.ATTRIBUTE, new InputListener() {
            @Override
            public void inputEnded() {
                markClientEnded();
            }

            @Override
            public void inputDrained() {
                input.drained();
            }
        });
        session.setAttribute(CONNECTION, this);
    }

    /** Returns the id that identifies the connection in log lines. */
    public long id() {
        return session.getId();
    }

    /** Returns the input, which belongs to the connection's I/O thread. */
    ConnectionInput input() {
        return input;
    }

    /**
     * Counts a response that was passed to the session, and decodes held input when few enough requests are unanswered.
     *
     * @param onInputAnswered run on the I/O thread if the held input contained no further request, and all others are answered
     */
    void requestAnswered(Runnable onInputAnswered) {
        if (input.requestAnswered() && resumePending.compareAndSet(false, true)) {
            runOnIoThread(() -> {
                resumePending.set(false);
                input.resume();
                if (input.isAnswered()) {
                    onInputAnswered.run();
                }
            });
        }
    }

    /**
     * Runs a task on the I/O thread after it has handled all input that it had already read, and after the pending responses are
     * written; does not run it if the connection ends before.
     */
    private void runOnIoThread(Runnable task) {
        session.write(HttpCodec.FlushMarker.INSTANCE).addListener(future -> {
            if (((WriteFuture) future).isWritten()) {
                task.run();
            }
        });
    }

    /** Records that the client has ended its output, or that the connection has failed. Thread-safe. */
    void markClientEnded() {
        clientEnded = true;
    }

    /** Returns what is known about the client at this moment. Thread-safe. */
    public ClientState clientState() {
        if (clientEnded) {
            return ClientState.ENDED;
        }
        return input.isUnread() ? ClientState.INPUT_UNREAD : ClientState.CONNECTED;
    }

    /** Returns for how many milliseconds input has been unread; 0 if there is none. Thread-safe. */
    public long unreadMillis() {
        return input.unreadMillis();
    }

    /** Whether all requests read so far are answered and further ones are accepted. */
    boolean awaitsNextRequest() {
        return input.isAnswered() && !lastResponseWritten;
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
     * Runs a task that decides about closing the connection, on the I/O thread after it has handled all input that it had already
     * read.
     */
    void decideAboutClose(Runnable decision) {
        closePending = true;
        runOnIoThread(() -> {
            closePending = false;
            decision.run();
        });
    }

    /** Reads nothing more, and closes the connection after the pending responses are written; called on the I/O thread. */
    void closeUnused() {
        session.suspendRead();
        session.closeOnFlush();
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

    /** Whether a message is queued and may be handled now. */
    boolean isReadyForNext() {
        return hasNext() && !isWriting();
    }

    private boolean hasNext() {
        return !requestInProgress && !closed && !lastResponseWritten && !waiting.isEmpty();
    }

    private boolean isWriting() {
        return latestWrite != null && !latestWrite.isDone();
    }

    /** Runs a task on any thread once the latest response is written, if a queued message waits for that; once for each write. */
    void ifNextAwaitsWrite(Runnable task) {
        WriteFuture write = latestWrite;
        if (write != null && write != awaitedWrite && hasNext()) {
            awaitedWrite = write;
            write.addListener(written -> task.run());
        }
    }

    /** Records that all messages that were read before the client ended its output have been queued. */
    void markInputClosed() {
        inputClosed = true;
    }

    /** Whether the client has ended its output and everything that it sent before is answered. */
    boolean isFinished() {
        return inputClosed && !closed && !requestInProgress && waiting.isEmpty() && input.isAnswered();
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
        latestWrite = written;
        if (last) {
            lastResponseWritten = true;
            recordCloseReason(CloseReason.LAST_RESPONSE_WRITTEN);
            session.closeOnFlush();
        }
        return written;
    }
}
