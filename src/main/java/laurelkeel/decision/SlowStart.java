package laurelkeel.decision;

import laurelkeel.api.Settings.Limits;
import laurelkeel.api.Ticks;

/**
 * Limits the load on endpoints that are warming up: their assumed capacity rises with time, and within the overload
 * window they receive no more attempts than a fixed share of what would overload them.
 */
final class SlowStart {
    /** Share of the overload limit that is used, because the expected answers of an endpoint are only an estimate. */
    private static final double SAFETY_FACTOR = 0.7;

    /** Time for which the budget applies after the warm-up, because the start time is not exact. */
    private static final long BUDGET_EXTENSION_TICKS = Ticks.PER_SECOND;

    private final Limits limits;

    SlowStart(Limits limits) {
        this.limits = limits;
    }

    /**
     * Returns the share of its full capacity that an endpoint currently has, from 0 to 1.
     *
     * @param startedAtTicks when the endpoint started; 0 if it started long ago
     */
    double capacityShare(long startedAtTicks, long nowTicks) {
        double progress =
                startedAtTicks == 0 ? 1 : Math.min(1, (nowTicks - startedAtTicks) / (double) limits.warmUpTicks());
        return limits.warmUpInitialShare() + (1 - limits.warmUpInitialShare()) * Math.max(0, progress);
    }

    /** Returns whether an endpoint has reached its full capacity. */
    boolean isWarm(long startedAtTicks, long nowTicks) {
        return startedAtTicks == 0 || nowTicks - startedAtTicks >= limits.warmUpTicks();
    }

    /** Returns whether attempts at an endpoint are no longer limited by a warm-up budget. */
    boolean isUnlimited(long startedAtTicks, long nowTicks) {
        return startedAtTicks == 0 || nowTicks - startedAtTicks >= limits.warmUpTicks() + BUDGET_EXTENSION_TICKS;
    }

    /** Returns whether one more attempt could overload an endpoint that is warming up. */
    boolean isBudgetExhausted(Endpoint endpoint, OwnThroughput throughput, long nowTicks) {
        if (isUnlimited(endpoint.startedAtTicks(), nowTicks)) {
            return false;
        }
        long windowTicks = limits.overloadWindowTicks();
        double expectedAnswers = throughput.expectedAnswers(endpoint.capacity(), windowTicks);
        double limit = SAFETY_FACTOR
                * limits.overloadMultiple()
                * capacityShare(endpoint.startedAtTicks(), nowTicks)
                * expectedAnswers;
        return endpoint.warmUpBudget().isExhausted(limit, nowTicks - windowTicks);
    }
}
