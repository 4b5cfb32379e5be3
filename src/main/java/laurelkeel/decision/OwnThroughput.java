package laurelkeel.decision;

import laurelkeel.api.Settings;
import laurelkeel.api.Settings.Tenant;
import laurelkeel.api.Ticks;

/**
 * How many attempts the endpoints completed for this node of late, in all and by unit of their capacity.
 *
 * <p>It counts answers and not requests: under overload the requests say nothing of what an endpoint can do.
 */
final class OwnThroughput {
    /** Assumed before the first answers where the settings name no quota. */
    private static final double DEFAULT_ANSWERS_PER_SECOND = 1;

    /** Span of the mean at the start: the assumed rate counts as much as that of these seconds. */
    private static final double INITIAL_SPAN_SECONDS = 3;

    /** A warm-up window alone would be too short: a node with little traffic has too few answers in it. */
    private static final double MAX_SPAN_SECONDS = 10;

    /** Share of a capacity that has left the list which is still counted after one more decision. */
    private static final double CAPACITY_DECAY_PER_DECISION = 0.9999;

    private static final double MIN_CAPACITY = 1e-9;

    private double answersPerSecond;
    private double spanSeconds = INITIAL_SPAN_SECONDS;
    private int answersSinceUpdate;
    private long updatedAtTicks;
    private double capacity;

    /** @param initialAnswersPerSecond assumed until there are answers */
    OwnThroughput(double initialAnswersPerSecond) {
        answersPerSecond = initialAnswersPerSecond;
    }

    /** Returns this node's even share of what all tenants may ask, in answers a second. */
    static double assumedAnswersPerSecond(Settings settings) {
        double quotaPerSecond =
                settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).sum();
        return quotaPerSecond > 0 ? quotaPerSecond / settings.nodeCount() : DEFAULT_ANSWERS_PER_SECOND;
    }

    /** Counts an attempt that has completed. */
    void attemptCompleted() {
        answersSinceUpdate++;
    }

    /** Brings the rate up to date; called several times a second. */
    void update(long nowTicks) {
        double elapsedSeconds = updatedAtTicks == 0 ? 0 : (nowTicks - updatedAtTicks) / (double) Ticks.PER_SECOND;
        spanSeconds = Math.min(MAX_SPAN_SECONDS, spanSeconds + elapsedSeconds);
        answersPerSecond +=
                (answersSinceUpdate - answersPerSecond * elapsedSeconds) / Math.max(elapsedSeconds, spanSeconds);
        answersSinceUpdate = 0;
        updatedAtTicks = nowTicks;
    }

    /**
     * Takes note of the capacity of all active endpoints, at every decision. Where endpoints fall out, what is left
     * did not answer all that before.
     */
    void observeCapacity(double activeCapacity) {
        capacity = Math.max(activeCapacity, capacity * CAPACITY_DECAY_PER_DECISION);
    }

    double answersPerSecond() {
        return answersPerSecond;
    }

    /** Returns how many answers a warm endpoint of this capacity usually gives this node within a span. */
    double expectedAnswers(double endpointCapacity, long spanTicks) {
        return answersPerSecond * spanTicks / Ticks.PER_SECOND * endpointCapacity / Math.max(capacity, MIN_CAPACITY);
    }
}
