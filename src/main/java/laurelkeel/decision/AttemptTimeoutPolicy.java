package laurelkeel.decision;

/**
 * Computes the timeout of an attempt: the time until the request's answer is due, or less if another attempt could
 * still complete within the latency objective.
 */
final class AttemptTimeoutPolicy {
    /** Mean deviations above the expected latency after which an answer is no longer expected. */
    private static final double TIMEOUT_DEVIATIONS = 6;

    private static final double MIN_TIMEOUT_SHARE_OF_OBJECTIVE = 0.35;

    /** Retries that the budget must allow for an attempt to get a shorter timeout in favor of a retry. */
    private static final int MIN_RETRIES_IN_BUDGET = 2;

    private final LatencyModel latency;
    private final RetryPolicy retryPolicy;
    private final RetryBudget retryBudget;

    AttemptTimeoutPolicy(LatencyModel latency, RetryPolicy retryPolicy, RetryBudget retryBudget) {
        this.latency = latency;
        this.retryPolicy = retryPolicy;
        this.retryBudget = retryBudget;
    }

    /**
     * Returns the timeout in ticks of a request's next attempt.
     *
     * @param inFlightAtEndpoint this node's attempts in flight at the chosen endpoint
     */
    long timeoutTicks(ActiveRequest request, int inFlightAtEndpoint, long nowTicks) {
        long untilAnswerDueTicks = request.answerDueAtTicks() - nowTicks;
        if (!retryPolicy.mayRetryNext(request) || !retryBudget.allows(MIN_RETRIES_IN_BUDGET)) {
            return untilAnswerDueTicks;
        }
        RouteLatency routeLatency = latency.route(request.routeIndex());
        double expectedTicks = routeLatency.expectedOrUnloadedTicks(RouteLatency.concurrencyLevel(inFlightAtEndpoint));
        long objectiveTicks = request.route().latencyObjectiveTicks();
        double timeoutTicks = Math.max(
                expectedTicks * (1 + TIMEOUT_DEVIATIONS * routeLatency.relativeDeviation()),
                MIN_TIMEOUT_SHARE_OF_OBJECTIVE * objectiveTicks);
        if (timeoutTicks + expectedTicks > objectiveTicks) {
            return untilAnswerDueTicks;
        }
        return Math.min(untilAnswerDueTicks, (long) timeoutTicks);
    }
}
