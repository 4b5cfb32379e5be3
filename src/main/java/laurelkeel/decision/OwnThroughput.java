package laurelkeel.decision;

import laurelkeel.api.Settings;
import laurelkeel.api.Settings.Tenant;
import laurelkeel.api.Ticks;

/**
 * The recent throughput of this node: the rate of its completed attempts, in total and in proportion to endpoint
 * capacity.
 *
 * <p>It counts answers instead of requests because the request rate under overload does not indicate what an endpoint
 * can serve.
 */
final class OwnThroughput {
    /** Initial rate if the settings contain no quota. */
    private static final double DEFAULT_ANSWERS_PER_SECOND = 1;

    /** Initial span of the mean: the initial rate has the weight of this many seconds of answers. */
    private static final double INITIAL_SPAN_SECONDS = 3;

    /**
     * Maximum span of the mean: longer than the overload window, in which a node with little traffic has too few
     * answers.
     */
    private static final double MAX_SPAN_SECONDS = 10;

    /** Factor per decision by which the observed capacity decays after endpoints have left the endpoint list. */
    private static final double CAPACITY_DECAY_PER_DECISION = 0.9999;

    private static final double MIN_CAPACITY = 1e-9;

    private double answersPerSecond;
    private double spanSeconds = INITIAL_SPAN_SECONDS;
    private int answersSinceUpdate;
    private long updatedAtTicks;
    private double capacity;

    /** @param initialAnswersPerSecond the rate assumed until there are answers */
    OwnThroughput(double initialAnswersPerSecond) {
        answersPerSecond = initialAnswersPerSecond;
    }

    /** Returns this node's equal share of the quotas of all tenants, in answers per second, as the initial rate. */
    static double assumedAnswersPerSecond(Settings settings) {
        double quotaPerSecond =
                settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).sum();
        return quotaPerSecond > 0 ? quotaPerSecond / settings.nodeCount() : DEFAULT_ANSWERS_PER_SECOND;
    }

    /** Counts a completed attempt. */
    void attemptCompleted() {
        answersSinceUpdate++;
    }

    /** Updates the rate; must be called several times per second. */
    void update(long nowTicks) {
        double elapsedSeconds = updatedAtTicks == 0 ? 0 : (nowTicks - updatedAtTicks) / (double) Ticks.PER_SECOND;
        spanSeconds = Math.min(MAX_SPAN_SECONDS, spanSeconds + elapsedSeconds);
        answersPerSecond +=
                (answersSinceUpdate - answersPerSecond * elapsedSeconds) / Math.max(elapsedSeconds, spanSeconds);
        answersSinceUpdate = 0;
        updatedAtTicks = nowTicks;
    }

    /**
     * Records the capacity of all active endpoints; must be called at every decision. After a drop the recorded
     * capacity decays slowly, because the remaining endpoints did not give all of the earlier answers.
     */
    void observeCapacity(double activeCapacity) {
        capacity = Math.max(activeCapacity, capacity * CAPACITY_DECAY_PER_DECISION);
    }

    double answersPerSecond() {
        return answersPerSecond;
    }

    /**
     * Returns the number of answers that a warm endpoint of the given capacity is expected to give this node in a time
     * span.
     */
    double expectedAnswers(double endpointCapacity, long spanTicks) {
        return answersPerSecond * spanTicks / Ticks.PER_SECOND * endpointCapacity / Math.max(capacity, MIN_CAPACITY);
    }
}
