package laurelkeel.front;

import java.util.Objects;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.eventloop.EventLoop.ScheduledTask;
import laurelkeel.front.upstream.Exchange;
import org.jspecify.annotations.Nullable;

/** One attempt of a request at an endpoint. Not thread-safe; used on the event loop's thread. */
final class DispatchedAttempt {
    private final int number;
    private final String endpointId;
    private final long startedAtTicks;
    private @Nullable Exchange exchange;
    private @Nullable ScheduledTask timeout;
    private boolean ended;

    /**
     * Creates an attempt that has not been sent yet.
     *
     * @param number position among the attempts of its request, from 0
     */
    DispatchedAttempt(int number, String endpointId, long startedAtTicks) {
        this.number = number;
        this.endpointId = endpointId;
        this.startedAtTicks = startedAtTicks;
    }

    int number() {
        return number;
    }

    String endpointId() {
        return endpointId;
    }

    long startedAtTicks() {
        return startedAtTicks;
    }

    boolean isEnded() {
        return ended;
    }

    void setExchange(Exchange exchange) {
        this.exchange = exchange;
    }

    void setTimeout(ScheduledTask timeout) {
        this.timeout = timeout;
    }

    /**
     * Cancels the exchange with the endpoint.
     *
     * @param outcome the outcome of the attempt if it may have run
     * @return that outcome, or the actual one if no byte of the attempt was passed to a connection
     */
    AttemptOutcome cancel(AttemptOutcome outcome) {
        return Objects.requireNonNull(exchange, "the attempt has no exchange").cancel(outcome);
    }

    /** Cancels the exchange with the endpoint if one is active, without reporting its outcome. */
    void abandon() {
        if (!ended && exchange != null) {
            exchange.cancel(AttemptOutcome.CANCELLED);
        }
    }

    /** Marks the attempt as ended and cancels its timeout. */
    void end() {
        ended = true;
        if (timeout != null) {
            timeout.cancel();
        }
    }
}
