package laurelkeel.front.ingress;

import java.util.ArrayDeque;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import laurelkeel.wire.HttpResponse;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.session.IoSession;

/**
 * One connection of a client. Its reqs are answered in their order, one in progress at a time; the rest wait here,
 * and past a number the connection is not read. All fields belong to the front's thread
 * but those that say otherwise.
 */
public final class ClientConnection {

    record Waiting(Object message, long arrived) {}

    final IoSession session;
    final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    /** Read and not yet answered; counted up by the thread that has the connection, down as an answer is written. */
    final AtomicInteger owed = new AtomicInteger();
    /** Not read any more while it is looked at whether anything is owed; what is, reads on. */
    volatile boolean retiring;
    /** Set as it opens, by the thread that has it. */
    boolean turnedAway;

    volatile boolean lastSaid;
    boolean busy, gone, toHead;
    /** Requests read off it, whole or refused; counted by the thread that has the connection, before they are owed. */
    volatile int requests;
    /** It has one of the places for connections. */
    final AtomicBoolean counted = new AtomicBoolean(true);
    /** When it opened, or its last answer was handed over. */
    volatile long restsSince;

    Object current;
    private long writtenBefore = -1;
    private long writtenAt;

    private final AtomicReference<CloseReason> closeReason = new AtomicReference<>();

    ClientConnection(IoSession session) {
        this.session = session;
    }

    /** The first reason given stays; on any thread. */
    void closing(CloseReason why) {
        closeReason.compareAndSet(null, why);
    }

    /** Where nobody gave one, the front itself has ended. */
    CloseReason closeReason() {
        CloseReason why = closeReason.get();
        return why == null ? CloseReason.FRONT_ENDED : why;
    }

    /**
     * How long bytes have waited to be written and none has left, as seen at each call; 0 where none waits.
     *
     * @param now the loop's moment
     */
    long writeStalledFor(long now) {
        long written = session.getWrittenBytes();
        if (session.getScheduledWriteMessages() == 0 || written != writtenBefore) {
            writtenBefore = written;
            writtenAt = now;
        }
        return now - writtenAt;
    }

    /** Names it in logs. */
    public long id() {
        return session.getId();
    }

    /** What the front calls the req in progress; told back when the connection is lost. */
    public void current(Object token) {
        current = token;
    }

    public boolean gone() {
        return gone;
    }

    WriteFuture write(HttpResponse answer, boolean last) {
        HttpResponse a = toHead ? new HttpResponse(answer.status(), 1, answer.headers(), answer.body(), true) : answer;
        return write((Object) a, last);
    }

    WriteFuture write(Object message, boolean last) {
        WriteFuture written = session.write(message);
        if (last) {
            lastSaid = true;
            closing(CloseReason.LAST_ANSWER);
            session.closeOnFlush();
        }
        return written;
    }
}
