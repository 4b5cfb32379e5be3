package laurelkeel.decision;

import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Ticks;

/**
 * The health of one endpoint: ejects the endpoint after outcomes that indicate a fault of the endpoint itself. An
 * ejected endpoint is picked only if there is no other.
 *
 * <p>Two connection failures or timeouts without a completed attempt between them eject it for half a second; each
 * further one doubles the time, up to 4 s. A timeout of a request whose final answer was already due does not count.
 * After an ejection the endpoint receives one attempt at a time until one completes. An endpoint that {@link
 * OutlierDetector} has marked is ejected for one second after each error, and an endpoint at capacity for 200 ms.
 */
final class EndpointHealth {
    /** Weight of one outcome in the error rate. */
    static final double ERROR_RATE_SMOOTHING = 0.1;

    private static final int FAILURES_TO_EJECT = 2;
    private static final long MIN_EJECTION_TICKS = Ticks.PER_SECOND / 2;
    private static final long MAX_EJECTION_TICKS = 4 * Ticks.PER_SECOND;
    /** Keeps the shift small; {@link #MAX_EJECTION_TICKS} limits the result. */
    private static final int MAX_DOUBLINGS = 4;

    private static final long ERROR_EJECTION_TICKS = Ticks.PER_SECOND;
    private static final long OVERLOAD_PAUSE_TICKS = Ticks.PER_SECOND / 5;

    private int outcomeCount;
    private int unansweredSinceCompletion;
    private double errorRate;
    private boolean isErrorOutlier;
    private long ejectedUntilTicks;
    private long overloadedUntilTicks;

    /**
     * Records the outcome of an attempt.
     *
     * @param isAnswerDue whether the request's answer was already due, in which case a timeout does not indicate a
     *     fault of the endpoint
     * @return whether the endpoint may no longer be eligible
     */
    boolean record(AttemptOutcome outcome, boolean isAnswerDue, long nowTicks) {
        outcomeCount++;
        switch (outcome) {
            case COMPLETED -> {
                errorRate -= errorRate * ERROR_RATE_SMOOTHING;
                unansweredSinceCompletion = 0;
                ejectedUntilTicks = 0;
                return false;
            }
            case FAILED -> {
                errorRate += (1 - errorRate) * ERROR_RATE_SMOOTHING;
                ejectedUntilTicks = isErrorOutlier ? nowTicks + ERROR_EJECTION_TICKS : ejectedUntilTicks;
                return false;
            }
            case OVERLOADED -> {
                overloadedUntilTicks = nowTicks + OVERLOAD_PAUSE_TICKS;
                return true;
            }
            case TIMED_OUT -> {
                return !isAnswerDue && recordFailure(nowTicks);
            }
            case CONNECT_FAILED, CONNECTION_LOST -> {
                return recordFailure(nowTicks);
            }
            default -> {
                return false;
            }
        }
    }

    private boolean recordFailure(long nowTicks) {
        unansweredSinceCompletion++;
        ejectedUntilTicks = hasRepeatedFailures() ? nowTicks + ejectionTicks() : 0;
        return true;
    }

    private long ejectionTicks() {
        int doublings = Math.min(MAX_DOUBLINGS, unansweredSinceCompletion - FAILURES_TO_EJECT);
        return Math.min(MAX_EJECTION_TICKS, MIN_EJECTION_TICKS << doublings);
    }

    /** Returns whether enough attempts ended without an answer since the last completed attempt. */
    private boolean hasRepeatedFailures() {
        return unansweredSinceCompletion >= FAILURES_TO_EJECT;
    }

    /**
     * Returns whether the endpoint probably has a fault of its own: repeated failures since it last completed an
     * attempt, or an error rate that is an outlier. Outcomes of such an endpoint do not count for its build.
     */
    boolean isSuspect() {
        return hasRepeatedFailures() || isErrorOutlier;
    }

    /**
     * Returns whether the endpoint is to be picked only if there is no other: while it is ejected or at capacity, or,
     * for a suspect, while an attempt is in flight.
     */
    boolean isEjected(int inFlight, long nowTicks) {
        return (isSuspect() && (nowTicks < ejectedUntilTicks || inFlight > 0)) || isOverloaded(nowTicks);
    }

    /** Returns whether the endpoint reported in the last 200 ms that it is at capacity or draining. */
    boolean isOverloaded(long nowTicks) {
        return nowTicks < overloadedUntilTicks;
    }

    /** Returns the number of recorded outcomes. */
    int outcomeCount() {
        return outcomeCount;
    }

    /** Returns the share of errors among the endpoint's recent answers, from 0 to 1. */
    double errorRate() {
        return errorRate;
    }

    void setErrorOutlier(boolean isOutlier) {
        isErrorOutlier = isOutlier;
    }
}
