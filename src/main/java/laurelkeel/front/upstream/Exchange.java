package laurelkeel.front.upstream;

import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.eventloop.EventLoop;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A request to an endpoint and its response. It waits for a connection, has been sent on one, or has ended.
 *
 * <p>Not thread-safe; called on the event loop's thread.
 */
public final class Exchange {
    private static final Logger LOG = LoggerFactory.getLogger(Exchange.class);
    /** The exchange fails after this number of connections failed before any byte of it was written. */
    private static final int MAX_UNSENT_FAILURES = 3;

    /** Receives the result of an exchange. */
    public interface Listener {
        /**
         * Called when the exchange has ended: once, on the event loop's thread, but never from within
         * {@link ConnectionPools#startExchange} or {@link #cancel}.
         *
         * @param response null unless a complete response was read
         */
        void ended(AttemptOutcome outcome, @Nullable EndpointResponse response);
    }

    private final EndpointConnectionPool pool;
    private final OutgoingRequest request;
    private final Listener listener;
    /** The connection that the request was sent on; null before that and after the exchange is detached from it. */
    private @Nullable EndpointConnection connection;

    private EventLoop.@Nullable ScheduledTask connectTimeout;
    private long sentAtTicks;
    private int unsentFailures;
    private boolean ended;

    /**
     * Creates an exchange that is not dispatched yet.
     */
    Exchange(EndpointConnectionPool pool, OutgoingRequest request, Listener listener) {
        this.pool = pool;
        this.request = request;
        this.listener = listener;
    }

    /**
     * Ends the exchange without calling the listener. If the request was sent, its connection is closed, since the response
     * may still arrive on it.
     *
     * @param outcomeIfSent the outcome if the request may have been executed
     * @return {@code outcomeIfSent}, or the outcome for a request that was never sent on a connection
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
            // if the endpoint disappeared without closing its connections, each idle one would cost another exchange
            // its timeout
            pool.closeIdleSinceBefore(sentAtTicks);
        }
        return outcomeIfSent;
    }

    EndpointConnectionPool pool() {
        return pool;
    }

    OutgoingRequest request() {
        return request;
    }

    boolean hasEnded() {
        return ended;
    }

    /** Returns the bytes of the request; null if it may no longer be sent or cannot be built. */
    byte @Nullable [] createMessage() {
        try {
            return request.createMessage();
        } catch (RuntimeException e) {
            LOG.error("cannot build the request to endpoint {}", pool.address().key(), e);
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

    /** Records that the request is sent on a connection. */
    void sentOn(EndpointConnection connection, long nowTicks) {
        cancelConnectTimeout();
        this.connection = connection;
        sentAtTicks = nowTicks;
    }

    /** Removes the reference to the connection, which has closed or no longer carries this exchange. */
    void detachFromConnection() {
        connection = null;
    }

    /** Counts a connection that failed before any byte of this exchange was written; returns whether to try another. */
    boolean countUnsentFailure() {
        return ++unsentFailures < MAX_UNSENT_FAILURES;
    }

    /** Ends the exchange and calls its listener; no effect if it has already ended. */
    void end(AttemptOutcome outcome, @Nullable EndpointResponse response) {
        if (!ended) {
            ended = true;
            cancelConnectTimeout();
            listener.ended(outcome, response);
        }
    }
}
