package laurelkeel.testbed;

import java.util.ArrayDeque;
import laurelkeel.records.RecordClock;

/** How warm a simulated server is, and whether load pushes it over while it is not. Not thread-safe. */
final class WarmUp {
    /** Arrivals beyond the limit that a cold server bears, for chance. */
    private static final int ALLOWANCE_ARRIVALS = 5;

    private final ServerProfile profile;
    private final boolean startedCold;
    private final long startTicks;
    private final ArrayDeque<Long> recentArrivalTicks = new ArrayDeque<>();

    WarmUp(ServerProfile profile, boolean startedCold, long startTicks) {
        this.profile = profile;
        this.startedCold = startedCold;
        this.startTicks = startTicks;
    }

    /** The share of its capacity that the server has now. */
    double capacityShare(long nowTicks) {
        double progress = startedCold ? Math.min(1, (nowTicks - startTicks) / (double) profile.warmUpTicks()) : 1;
        return profile.warmUpInitialShare() + (1 - profile.warmUpInitialShare()) * progress;
    }

    /**
     * Counts an arrival.
     *
     * @return whether it overloads the server: it gets more than a multiple of what it can do while it is cold
     */
    boolean isOverloadedByArrival(long nowTicks) {
        if (!startedCold || nowTicks - startTicks > profile.warmUpTicks()) {
            return false;
        }
        recentArrivalTicks.addLast(nowTicks);
        while (recentArrivalTicks.getFirst() < nowTicks - profile.overloadWindowTicks()) {
            recentArrivalTicks.removeFirst();
        }
        double limit = profile.overloadMultiple()
                * capacityShare(nowTicks)
                * profile.capacityPerSecond()
                * profile.overloadWindowTicks()
                / RecordClock.TICKS_PER_SECOND;
        return recentArrivalTicks.size() > limit + ALLOWANCE_ARRIVALS;
    }
}
