package laurelkeel.decision;

import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Ticks;

/**
 * The health of one endpoint: ejects the endpoint from the rotation after outcomes that indicate a fault of the
 * endpoint itself.
 *
 * <p>Two consecutive connection failures or timeouts eject it, for a time that doubles with each further failure.
 * Afterwards it receives one attempt at a time until one completes. An endpoint that {@link OutlierDetector} has marked
 * is ejected for one second after each error. An endpoint at capacity is excluded for 200 ms.
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
     * Records the outcome of an attempt.
     *
     * @param isAnswerDue whether the request's answer was already due, in which case a timeout does not indicate a
     *     fault of the endpoint
     * @return whether the endpoint may now have to be excluded
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
        ejectedUntilTicks = hasConsecutiveFailures() ? nowTicks + ejectionTicks() : 0;
        return true;
    }

    private long ejectionTicks() {
        int doublings = Math.min(MAX_DOUBLINGS, consecutiveFailures - FAILURES_TO_EJECT);
        return Math.min(MAX_EJECTION_TICKS, MIN_EJECTION_TICKS << doublings);
    }

    /** Returns whether enough consecutive attempts failed without an answer. */
    private boolean hasConsecutiveFailures() {
        return consecutiveFailures >= FAILURES_TO_EJECT;
    }

    /**
     * Returns whether the endpoint has shown a fault of its own since it last completed an attempt. Outcomes of a
     * suspect do not count for its build.
     */
    boolean isSuspect() {
        return hasConsecutiveFailures() || isErrorOutlier;
    }

    /**
     * Returns whether the endpoint is currently excluded from the rotation; a suspect receives one attempt at a time.
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
