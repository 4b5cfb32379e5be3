package laurelkeel.front;

import java.util.ArrayList;
import java.util.List;
import laurelkeel.eventloop.EventLoop.ScheduledTask;
import laurelkeel.front.ingress.ClientConnection;
import laurelkeel.front.ingress.ClientRequest;
import org.jspecify.annotations.Nullable;

/**
 * A request that was accepted and is not finished: it has no final answer yet, or some of its attempts have not ended.
 * Not thread-safe; used on the event loop's thread.
 */
final class AcceptedRequest {
    private final String id;
    private final long number;
    private final ClientConnection connection;
    private final ClientRequest clientRequest;
    private final long acceptedAtTicks;
    private final long deadlineTicks;
    private final List<DispatchedAttempt> attempts = new ArrayList<>(2);
    private boolean answered;
    private @Nullable ScheduledTask overdueTimer;

    /**
     * Creates a request without attempts.
     *
     * @param id unique among the requests of all incarnations of all nodes
     * @param number sequence number of the request within this incarnation, from 0
     * @param deadlineTicks when the client stops waiting for the answer, or this node can no longer give it
     */
    AcceptedRequest(
            String id,
            long number,
            ClientConnection connection,
            ClientRequest clientRequest,
            long acceptedAtTicks,
            long deadlineTicks) {
        this.id = id;
        this.number = number;
        this.connection = connection;
        this.clientRequest = clientRequest;
        this.acceptedAtTicks = acceptedAtTicks;
        this.deadlineTicks = deadlineTicks;
    }

    String id() {
        return id;
    }

    long number() {
        return number;
    }

    ClientConnection connection() {
        return connection;
    }

    ClientRequest clientRequest() {
        return clientRequest;
    }

    long acceptedAtTicks() {
        return acceptedAtTicks;
    }

    long deadlineTicks() {
        return deadlineTicks;
    }

    /** Returns the attempts in the order of their numbers. */
    List<DispatchedAttempt> attempts() {
        return attempts;
    }

    /** Adds an attempt; its number is the count of earlier attempts. */
    DispatchedAttempt addAttempt(String endpointId, long nowTicks) {
        DispatchedAttempt attempt = new DispatchedAttempt(attempts.size(), endpointId, nowTicks);
        attempts.add(attempt);
        return attempt;
    }

    /** Returns whether an attempt other than the given one has not ended yet. */
    boolean hasAttemptInFlight(DispatchedAttempt except) {
        return attempts.stream().anyMatch(attempt -> attempt != except && !attempt.isEnded());
    }

    boolean isExpired(long nowTicks) {
        return nowTicks >= deadlineTicks;
    }

    boolean isAnswered() {
        return answered;
    }

    /** Marks the request as answered: the final answer was written, or the client has disconnected and needs none. */
    void markAnswered() {
        answered = true;
    }

    void setOverdueTimer(ScheduledTask timer) {
        overdueTimer = timer;
    }

    void cancelOverdueTimer() {
        if (overdueTimer != null) {
            overdueTimer.cancel();
        }
    }

    /** Returns whether the request is answered and all its attempts have ended. */
    boolean isFinished() {
        return answered && attempts.stream().allMatch(DispatchedAttempt::isEnded);
    }
}
