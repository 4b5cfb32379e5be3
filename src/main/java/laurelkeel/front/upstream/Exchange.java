package laurelkeel.front.upstream;

import java.util.function.Supplier;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.eventloop.EventLoop;

/** One upstream try on its way: waiting for a connection, written to one, or over. Front's thread only. */
public final class Exchange {

    /** Told once, on the front's thread, but never from within start or end. */
    public interface Listener {
        /** came is null unless an answer came whole. */
        void ended(AttemptOutcome outcome, EndpointResponse came);
    }

    final EndpointPool pool;
    /** Its bytes at the moment they are written, for they tell what time is left; null where it may not be any more. */
    final Supplier<byte[]> message;

    final boolean toHead;
    final Listener heard;
    EndpointConnection on;
    long writtenBefore, writtenAt;
    int dials;
    boolean over;
    EventLoop.ScheduledTask dialLimit;

    Exchange(EndpointPool pool, Supplier<byte[]> message, boolean toHead, Listener heard) {
        this.pool = pool;
        this.message = message;
        this.toHead = toHead;
        this.heard = heard;
    }

    /**
     * Ends it from this side, without Heard: its connection is closed, since its answer may still come on it.
     *
     * @param asked how it is to count if it may have run
     * @return that, or what it was in truth where no byte of it was ever handed to a connection
     */
    public AttemptOutcome cancel(AttemptOutcome asked) {
        boolean left = on != null;
        over = true;
        if (dialLimit != null) {
            dialLimit.cancel();
        }
        if (left) {
            EndpointConnection c = on;
            on = null;
            c.current = null;
            c.session.closeNow();
            if (asked == AttemptOutcome.TIMED_OUT) {
                // a machine that went without a word leaves them all like this one: each would cost its req a time-out
                pool.closeIdle(writtenAt);
            }
        } else {
            pool.waiting.remove(this);
        }
        return left
                ? asked
                : asked == AttemptOutcome.TIMED_OUT ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.NOT_SENT;
    }

    void tell(AttemptOutcome outcome, EndpointResponse came) {
        if (!over) {
            over = true;
            if (dialLimit != null) {
                dialLimit.cancel();
            }
            heard.ended(outcome, came);
        }
    }
}
