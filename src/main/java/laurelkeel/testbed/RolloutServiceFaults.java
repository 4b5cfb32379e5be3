package laurelkeel.testbed;

/** What is wrong with the rollout service for a while; thread-safe. */
final class RolloutServiceFaults {
    private volatile long stalledUntilTicks = Long.MIN_VALUE;
    private volatile long delayedUntilTicks = Long.MIN_VALUE;
    private volatile long extraDelayTicks;

    /** Publishes nothing and answers no vote until a moment. */
    void stallUntil(long untilTicks) {
        stalledUntilTicks = untilTicks;
    }

    boolean isStalled(long nowTicks) {
        return nowTicks < stalledUntilTicks;
    }

    /** Publishes later than usual until a moment. */
    void delayUntil(long untilTicks, long delayTicks) {
        delayedUntilTicks = untilTicks;
        extraDelayTicks = delayTicks;
    }

    /** By how much updates are late beyond their usual delay. */
    long extraDelayTicks(long nowTicks) {
        return nowTicks < delayedUntilTicks ? extraDelayTicks : 0;
    }
}
