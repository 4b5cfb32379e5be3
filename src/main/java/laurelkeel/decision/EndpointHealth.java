package laurelkeel.decision;

import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Ticks;

/**
 * Ejects one endpoint from the rotation after outcomes that point to a fault of its own.
 *
 * <p>Two connection failures or timeouts in a row eject it, for a time that doubles with each further one; afterwards it
 * gets one attempt at a time until one completes. An endpoint that {@link OutlierDetector} has found is ejected for a
 * second by each error. One that is at capacity is left out for a moment.
 */
final class EndpointHealth {
    /** Weight of one outcome in the error rate. */
    static final double ERROR_RATE_SMOOTHING = 0.1;

    private static final int FAILURES_TO_EJECT = 2;
    private static final long MIN_EJECTION_TICKS = Ticks.PER_SECOND / 2;
    private static final long MAX_EJECTION_TICKS = 4 * Ticks.PER_SECOND;
    private static final int MAX_DOUBLINGS = 4;
    private static final long ERROR_EJECTION_TICKS = Ticks.PER_SECOND;
    private static final long OVERLOAD_PAUSE_TICKS = Ticks.PER_SECOND / 5;

    private int outcomeCount;
    private int consecutiveFailures;
    private double errorRate;
    private boolean isErrorOutlier;
    private long ejectedUntilTicks;
    private long overloadedUntilTicks;

    /**
     * Takes note of the outcome of an attempt.
     *
     * @param isAnswerDue whether the request's time was over: then a timeout says nothing of the endpoint
     * @return whether the endpoint may have to be left out from now on
     */
    boolean record(AttemptOutcome outcome, boolean isAnswerDue, long nowTicks) {
        outcomeCount++;
        switch (outcome) {
            case COMPLETED -> {
                errorRate -= errorRate * ERROR_RATE_SMOOTHING;
                consecutiveFailures = 0;
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
        consecutiveFailures++;
        ejectedUntilTicks = hasFailed() ? nowTicks + ejectionTicks() : 0;
        return true;
    }

    private long ejectionTicks() {
        int doublings = Math.min(MAX_DOUBLINGS, consecutiveFailures - FAILURES_TO_EJECT);
        return Math.min(MAX_EJECTION_TICKS, MIN_EJECTION_TICKS << doublings);
    }

    /** Whether its last attempts failed in a row, without an answer. */
    private boolean hasFailed() {
        return consecutiveFailures >= FAILURES_TO_EJECT;
    }

    /** Whether it has shown a fault of its own since it last served. Its outcomes then count for no build. */
    boolean isSuspect() {
        return hasFailed() || isErrorOutlier;
    }

    /** Whether it is left out of the rotation at the moment; a suspect gets one attempt at a time. */
    boolean isEjected(int inFlight, long nowTicks) {
        return (isSuspect() && (nowTicks < ejectedUntilTicks || inFlight > 0)) || isOverloaded(nowTicks);
    }

    /** Whether it has said a moment ago that it is at capacity or draining. */
    boolean isOverloaded(long nowTicks) {
        return nowTicks < overloadedUntilTicks;
    }

    /** Returns how many outcomes it has had. */
    int outcomeCount() {
        return outcomeCount;
    }

    /** Returns the share of errors among its answers of late, from 0 to 1. */
    double errorRate() {
        return errorRate;
    }

    void setErrorOutlier(boolean isOutlier) {
        isErrorOutlier = isOutlier;
    }
}
