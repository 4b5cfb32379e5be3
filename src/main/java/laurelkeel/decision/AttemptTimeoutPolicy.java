package laurelkeel.decision;

/**
 * How long to wait for an attempt: until the request's answer is due, or less where another attempt could still answer
 * within the latency objective.
 */
final class AttemptTimeoutPolicy {
    /** An answer later than so many mean deviations is not expected any more. */
    private static final double PATIENCE_DEVIATIONS = 6;

    private static final double MIN_PATIENCE_SHARE_OF_OBJECTIVE = 0.35;

    /** Retries that the budget must allow before an attempt is cut short for the sake of one. */
    private static final int MIN_RETRIES_IN_BUDGET = 2;

    private final LatencyModel latency;
    private final RetryPolicy retryPolicy;
    private final RetryBudget retryBudget;

    AttemptTimeoutPolicy(LatencyModel latency, RetryPolicy retryPolicy, RetryBudget retryBudget) {
        this.latency = latency;
        this.retryPolicy = retryPolicy;
        this.retryBudget = retryBudget;
    }

    /** Returns the time limit in ticks of the next attempt of a request, at an endpoint with so many in flight. */
    long timeoutTicks(ActiveRequest request, int inFlightAtEndpoint, long nowTicks) {
        long untilAnswerDueTicks = request.answerDueAtTicks() - nowTicks;
        if (!retryPolicy.mayRepeatNext(request) || !retryBudget.allows(MIN_RETRIES_IN_BUDGET)) {
            return untilAnswerDueTicks;
        }
        RouteLatency routeLatency = latency.route(request.routeIndex());
        double typicalTicks = routeLatency.expectedOrUnloadedTicks(RouteLatency.concurrencyLevel(inFlightAtEndpoint));
        long objectiveTicks = request.route().latencyObjectiveTicks();
        double patienceTicks = Math.max(
                typicalTicks * (1 + PATIENCE_DEVIATIONS * routeLatency.relativeDeviation()),
                MIN_PATIENCE_SHARE_OF_OBJECTIVE * objectiveTicks);
        if (patienceTicks + typicalTicks > objectiveTicks) {
            return untilAnswerDueTicks;
        }
        return Math.min(untilAnswerDueTicks, (long) patienceTicks);
    }
}
