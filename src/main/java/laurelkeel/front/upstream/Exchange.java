package laurelkeel.front.upstream;

import java.util.function.Supplier;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.eventloop.EventLoop;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One request to an endpoint and its response: waiting for a connection, sent on one, or ended.
 *
 * <p>Not thread-safe; called on the event loop's thread.
 */
public final class Exchange {
    private static final Logger LOG = LoggerFactory.getLogger(Exchange.class);
    /** Connections that may fail before they carry a byte of the exchange, until it is given up. */
    private static final int MAX_UNSENT_FAILURES = 3;

    /** Receives the end of an exchange. */
    public interface Listener {
        /**
         * Called once, on the event loop's thread, but never from within {@link ConnectionPools#startExchange} or
         * {@link #cancel}.
         *
         * @param response null unless a complete response was read
         */
        void ended(AttemptOutcome outcome, @Nullable EndpointResponse response);
    }

    private final EndpointConnectionPool pool;
    private final Supplier<byte @Nullable []> message;
    private final boolean headRequest;
    private final Listener listener;
    /** Null unless the request was handed to a connection. */
    private @Nullable EndpointConnection connection;

    private EventLoop.@Nullable ScheduledTask connectTimeout;
    private long sentAtTicks;
    private int unsentFailures;
    private boolean ended;

    /**
     * Creates an exchange that is not dispatched yet.
     *
     * @param message see {@link ConnectionPools#startExchange}
     * @param headRequest whether its response has no body
     */
    Exchange(EndpointConnectionPool pool, Supplier<byte @Nullable []> message, boolean headRequest, Listener listener) {
        this.pool = pool;
        this.message = message;
        this.headRequest = headRequest;
        this.listener = listener;
    }

    /**
     * Ends the exchange without a call of the listener. If it was sent, its connection is closed, since the response may
     * still arrive on it.
     *
     * @param outcomeIfSent the outcome if the request may have been executed
     * @return that, or the outcome that holds where no byte of the request was handed to a connection
     */
    public AttemptOutcome cancel(AttemptOutcome outcomeIfSent) {
        ended = true;
        cancelConnectTimeout();
        EndpointConnection sentOn = connection;
        if (sentOn == null) {
            pool.removeWaiting(this);
            return outcomeIfSent == AttemptOutcome.TIMED_OUT ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.NOT_SENT;
        }
        connection = null;
        sentOn.takeExchange();
        sentOn.close();
        if (outcomeIfSent == AttemptOutcome.TIMED_OUT) {
            // an endpoint that vanished silently leaves all its connections like this one: each would cost a timeout
            pool.closeIdleSinceBefore(sentAtTicks);
        }
        return outcomeIfSent;
    }

    EndpointConnectionPool pool() {
        return pool;
    }

    boolean isHeadRequest() {
        return headRequest;
    }

    boolean hasEnded() {
        return ended;
    }

    /** Returns the bytes to send now; null where the request may not be sent any more or cannot be built. */
    byte @Nullable [] createMessage() {
        try {
            return message.get();
        } catch (RuntimeException e) {
            LOG.error("cannot build the request to {}", pool.address().key(), e);
            return null;
        }
    }

    boolean hasConnectTimeout() {
        return connectTimeout != null;
    }

    void setConnectTimeout(EventLoop.ScheduledTask timeout) {
        connectTimeout = timeout;
    }

    private void cancelConnectTimeout() {
        if (connectTimeout != null) {
            connectTimeout.cancel();
            connectTimeout = null;
        }
    }

    /** Records that the request is handed to a connection. */
    void sentOn(EndpointConnection connection, long nowTicks) {
        cancelConnectTimeout();
        this.connection = connection;
        sentAtTicks = nowTicks;
    }

    /** Records that its connection has ended or is done with it. */
    void detachFromConnection() {
        connection = null;
    }

    /** Counts a connection that failed before it carried a byte of this exchange, and returns whether another may be tried. */
    boolean countUnsentFailure() {
        return ++unsentFailures < MAX_UNSENT_FAILURES;
    }

    /** Ends the exchange and calls its listener, unless it has ended before. */
    void end(AttemptOutcome outcome, @Nullable EndpointResponse response) {
        if (!ended) {
            ended = true;
            cancelConnectTimeout();
            listener.ended(outcome, response);
        }
    }
}
