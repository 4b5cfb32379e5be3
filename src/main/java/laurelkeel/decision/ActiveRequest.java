package laurelkeel.decision;

import java.util.HashSet;
import java.util.Set;
import laurelkeel.api.Event.AttemptEnded;
import laurelkeel.api.Event.RequestReceived;
import laurelkeel.api.Settings.Route;
import org.jspecify.annotations.Nullable;

/** A request that this node has received, until it has its final answer and no attempt in flight. */
final class ActiveRequest {
    /** How long before the client's deadline, or the latency objective, the node acts: the answer has to travel. */
    private static final long ANSWER_MARGIN_TICKS = 150;

    private final RequestReceived received;
    private final Route route;
    private final double keylessFraction;
    private final boolean isClientRetry;
    private final long answerDueAtTicks;
    private final long objectiveCheckAtTicks;

    private int attemptCount;
    private @Nullable Attempt attemptInFlight;
    private @Nullable Attempt firstPossibleRun;
    private Set<Endpoint> failedEndpoints = Set.of();
    private @Nullable BuildOutcomes failureCountedIn;
    private boolean avoidsCanary;

    private @Nullable Endpoint plannedEndpoint;
    private long plannedTimeoutTicks;
    private boolean isFinalAnswerDue;
    private boolean isFinished;
    private boolean isCancelRequested;

    /**
     * Creates the state of a request that has just arrived.
     *
     * @param keylessFraction a random number from 0 to 1 that stands for the key of a request without one
     * @param isClientRetry whether its client has sent it before
     */
    ActiveRequest(RequestReceived received, Route route, double keylessFraction, boolean isClientRetry, long nowTicks) {
        this.received = received;
        this.route = route;
        this.keylessFraction = keylessFraction;
        this.isClientRetry = isClientRetry;
        answerDueAtTicks = received.deadlineTicks() - ANSWER_MARGIN_TICKS;
        objectiveCheckAtTicks = nowTicks + route.latencyObjectiveTicks() - ANSWER_MARGIN_TICKS;
    }

    String id() {
        return received.requestId();
    }

    /** Returns the index of its route in the settings. */
    int routeIndex() {
        return received.route();
    }

    Route route() {
        return route;
    }

    @Nullable
    String partitionKey() {
        return received.partitionKey();
    }

    /** Returns a random number from 0 to 1 that stands for the key of a request without one. */
    double keylessFraction() {
        return keylessFraction;
    }

    boolean isClientRetry() {
        return isClientRetry;
    }

    /** Returns when the final answer has to be given, whatever is in flight. */
    long answerDueAtTicks() {
        return answerDueAtTicks;
    }

    /** Returns when an attempt in flight is about to miss the latency objective. */
    long objectiveCheckAtTicks() {
        return objectiveCheckAtTicks;
    }

    /** Returns the number of attempts sent so far. */
    int attemptCount() {
        return attemptCount;
    }

    @Nullable
    Attempt attemptInFlight() {
        return attemptInFlight;
    }

    /** Returns the first attempt that has ended and may have run at its endpoint. */
    @Nullable
    Attempt firstPossibleRun() {
        return firstPossibleRun;
    }

    /** Whether an attempt at this endpoint did not complete. */
    boolean hasFailedAt(Endpoint endpoint) {
        return failedEndpoints.contains(endpoint);
    }

    /** Whether its attempts so far do not restrict the endpoints it may go to. */
    boolean mayUseAnyEndpoint() {
        return firstPossibleRun == null && failedEndpoints.isEmpty();
    }

    /** Whether an attempt at the canary build did not complete. */
    boolean avoidsCanary() {
        return avoidsCanary;
    }

    /** Returns the outcomes in which its last counted attempt is a failure, or null where it was none. */
    @Nullable
    BuildOutcomes failureCountedIn() {
        return failureCountedIn;
    }

    void setFailureCountedIn(@Nullable BuildOutcomes outcomes) {
        failureCountedIn = outcomes;
    }

    /** Takes note of an attempt that did not complete. */
    void attemptFailed(Endpoint endpoint, boolean isCanary) {
        avoidsCanary |= isCanary;
        if (failedEndpoints.isEmpty()) {
            failedEndpoints = new HashSet<>();
        }
        failedEndpoints.add(endpoint);
    }

    /**
     * Takes note of the end of an attempt.
     *
     * @return the attempt, or null where it is not the one in flight
     */
    @Nullable
    Attempt attemptEnded(AttemptEnded event) {
        Attempt attempt = attemptInFlight;
        if (attempt == null || attempt.number() != event.attempt()) {
            return null;
        }
        attemptInFlight = null;
        isFinished |= event.requestEnded();
        if (firstPossibleRun == null && !event.outcome().provablyNeverRan()) {
            firstPossibleRun = attempt;
        }
        return attempt;
    }

    /** Plans an attempt, to be sent at the end of this decision. */
    void planAttempt(Endpoint endpoint, long timeoutTicks) {
        plannedEndpoint = endpoint;
        plannedTimeoutTicks = timeoutTicks;
    }

    /** Returns where the planned attempt is to go, or null where none is planned. */
    @Nullable
    Endpoint plannedEndpoint() {
        return plannedEndpoint;
    }

    long plannedTimeoutTicks() {
        return plannedTimeoutTicks;
    }

    /** Turns the planned attempt into the one in flight. */
    void attemptSent(Attempt attempt) {
        attemptInFlight = attempt;
        attemptCount++;
    }

    void clearPlan() {
        plannedEndpoint = null;
    }

    /** Marks that the node itself is to give the final answer at the end of this decision. */
    void requireFinalAnswer() {
        isFinalAnswerDue = true;
    }

    boolean isFinalAnswerDue() {
        return isFinalAnswerDue;
    }

    /** Marks that nothing more is owed to the client. */
    void finish() {
        isFinished = true;
    }

    /** Whether it has its final answer, or its client has left. */
    boolean isFinished() {
        return isFinished;
    }

    /** Whether nothing is left to do for it. */
    boolean isDone() {
        return isFinished && attemptInFlight == null;
    }

    /** Whether the attempt in flight serves nobody any more and is not yet cancelled. */
    boolean needsCancellation() {
        return isFinished && attemptInFlight != null && !isCancelRequested;
    }

    void cancellationRequested() {
        isCancelRequested = true;
    }
}
