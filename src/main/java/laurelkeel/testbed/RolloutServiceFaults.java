package laurelkeel.testbed;

/** The temporary faults of the rollout service. Thread-safe. */
final class RolloutServiceFaults {
    private volatile long stalledUntilTicks = Long.MIN_VALUE;
    private volatile long delayedUntilTicks = Long.MIN_VALUE;
    private volatile long extraDelayTicks;

    /** Stops publishing and answering votes until a given time. */
    void stallUntil(long untilTicks) {
        stalledUntilTicks = untilTicks;
    }

    boolean isStalled(long nowTicks) {
        return nowTicks < stalledUntilTicks;
    }

    /** Publishes with an additional delay until a given time. */
    void delayUntil(long untilTicks, long delayTicks) {
        delayedUntilTicks = untilTicks;
        extraDelayTicks = delayTicks;
    }

    /** Returns the delay of updates in addition to the normal one. */
    long extraDelayTicks(long nowTicks) {
        return nowTicks < delayedUntilTicks ? extraDelayTicks : 0;
    }
}
