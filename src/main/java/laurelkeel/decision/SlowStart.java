package laurelkeel.decision;

import laurelkeel.api.Settings.Limits;
import laurelkeel.api.Ticks;

/**
 * Spares endpoints that are warming up: their capacity rises with time, and within the overload window they get no more
 * attempts than a share of what would overload them.
 */
final class SlowStart {
    /** A margin, for what is usual for an endpoint is only estimated. */
    private static final double USED_SHARE_OF_OVERLOAD = 0.7;

    /** The budget applies a little longer than the warm-up: the moment of the start is not exact. */
    private static final long BUDGET_EXTENSION_TICKS = Ticks.PER_SECOND;

    private final Limits limits;

    SlowStart(Limits limits) {
        this.limits = limits;
    }

    /**
     * Returns the share of its full capacity that an endpoint has, from 0 to 1.
     *
     * @param startedAtTicks when it started; 0 for long ago
     */
    double capacityShare(long startedAtTicks, long nowTicks) {
        double progress =
                startedAtTicks == 0 ? 1 : Math.min(1, (nowTicks - startedAtTicks) / (double) limits.warmUpTicks());
        return limits.warmUpInitialShare() + (1 - limits.warmUpInitialShare()) * Math.max(0, progress);
    }

    /** Whether an endpoint has its full capacity. */
    boolean isWarm(long startedAtTicks, long nowTicks) {
        return startedAtTicks == 0 || nowTicks - startedAtTicks >= limits.warmUpTicks();
    }

    /** Whether no budget limits the attempts at an endpoint any more. */
    boolean isUnlimited(long startedAtTicks, long nowTicks) {
        return startedAtTicks == 0 || nowTicks - startedAtTicks >= limits.warmUpTicks() + BUDGET_EXTENSION_TICKS;
    }

    /** Whether one more attempt could overload an endpoint that is warming up. */
    boolean isBudgetExhausted(Endpoint endpoint, OwnThroughput throughput, long nowTicks) {
        if (isUnlimited(endpoint.startedAtTicks(), nowTicks)) {
            return false;
        }
        long windowTicks = limits.overloadWindowTicks();
        double expectedAnswers = throughput.expectedAnswers(endpoint.capacity(), windowTicks);
        double limit = USED_SHARE_OF_OVERLOAD
                * limits.overloadMultiple()
                * capacityShare(endpoint.startedAtTicks(), nowTicks)
                * expectedAnswers;
        return endpoint.warmUpBudget().isExhausted(limit, nowTicks - windowTicks);
    }
}
