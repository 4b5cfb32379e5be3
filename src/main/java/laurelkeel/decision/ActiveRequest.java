package laurelkeel.decision;

import java.util.HashSet;
import java.util.Set;
import laurelkeel.api.Event.AttemptEnded;
import laurelkeel.api.Event.RequestReceived;
import laurelkeel.api.Settings.Route;
import org.jspecify.annotations.Nullable;

/** The state of a received request, until the request has its final answer and no attempt in flight. */
final class ActiveRequest {
    /**
     * The node acts this long before the client's deadline or the latency objective, so that the answer arrives in
     * time.
     */
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
    private Set<Endpoint> triedEndpoints = Set.of();
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
     * @param keylessFraction a random number from 0 to 1 that replaces the hash of the key if the request has no key
     * @param isClientRetry whether the client has sent the request before
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

    /** Returns the index of the request's route in the settings. */
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

    /** Returns a random number from 0 to 1 that replaces the hash of the key if the request has no key. */
    double keylessFraction() {
        return keylessFraction;
    }

    boolean isClientRetry() {
        return isClientRetry;
    }

    /** Returns when the final answer is required, even if an attempt is still in flight. */
    long answerDueAtTicks() {
        return answerDueAtTicks;
    }

    /** Returns the time at which an attempt still in flight is about to miss the latency objective. */
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

    /** Returns the first attempt that has ended and may have run at its endpoint, or null if there is none. */
    @Nullable
    Attempt firstPossibleRun() {
        return firstPossibleRun;
    }

    /** Returns whether an attempt of this request at an endpoint ended without completing. */
    boolean wasTriedAt(Endpoint endpoint) {
        return triedEndpoints.contains(endpoint);
    }

    /** Returns whether the previous attempts do not restrict the choice of an endpoint for the next one. */
    boolean mayUseAnyEndpoint() {
        return firstPossibleRun == null && triedEndpoints.isEmpty();
    }

    /**
     * Returns whether an attempt at the canary build ended without completing, so that the next one prefers another
     * build.
     */
    boolean avoidsCanary() {
        return avoidsCanary;
    }

    /** Returns the outcomes that count the last counted attempt as a failure, or null if that attempt did not fail. */
    @Nullable
    BuildOutcomes failureCountedIn() {
        return failureCountedIn;
    }

    void setFailureCountedIn(@Nullable BuildOutcomes outcomes) {
        failureCountedIn = outcomes;
    }

    /** Records an attempt that ended without completing. */
    void attemptEndedWithoutCompletion(Endpoint endpoint, boolean isCanary) {
        avoidsCanary |= isCanary;
        if (triedEndpoints.isEmpty()) {
            triedEndpoints = new HashSet<>();
        }
        triedEndpoints.add(endpoint);
    }

    /**
     * Records the end of an attempt.
     *
     * @return the attempt, or null if the event is not about the attempt in flight
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

    /** Plans an attempt, which is sent at the end of the current decision. */
    void planAttempt(Endpoint endpoint, long timeoutTicks) {
        plannedEndpoint = endpoint;
        plannedTimeoutTicks = timeoutTicks;
    }

    /** Returns the endpoint of the planned attempt, or null if none is planned. */
    @Nullable
    Endpoint plannedEndpoint() {
        return plannedEndpoint;
    }

    long plannedTimeoutTicks() {
        return plannedTimeoutTicks;
    }

    /** Records that an attempt was sent and is now in flight. */
    void attemptSent(Attempt attempt) {
        attemptInFlight = attempt;
        attemptCount++;
    }

    void clearPlan() {
        plannedEndpoint = null;
    }

    /** Marks that the node itself must give the final answer at the end of the current decision. */
    void requireFinalAnswer() {
        isFinalAnswerDue = true;
    }

    boolean isFinalAnswerDue() {
        return isFinalAnswerDue;
    }

    /** Marks that no further answer is required. */
    void finish() {
        isFinished = true;
    }

    /** Returns whether the request has its final answer or its client has disconnected. */
    boolean isFinished() {
        return isFinished;
    }

    /** Returns whether the request is finished and has no attempt in flight. */
    boolean isDone() {
        return isFinished && attemptInFlight == null;
    }

    /** Returns whether the result of the attempt in flight is no longer needed and the attempt is not yet cancelled. */
    boolean needsCancellation() {
        return isFinished && attemptInFlight != null && !isCancelRequested;
    }

    void cancellationRequested() {
        isCancelRequested = true;
    }
}
