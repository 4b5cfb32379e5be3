package laurelkeel.testbed;

import java.util.ArrayDeque;
import laurelkeel.records.RecordClock;

/** The warm-up of a simulated server, during which a high load overloads it. Not thread-safe. */
final class WarmUp {
    /** Arrivals beyond the limit that a cold server tolerates, to allow for random variation. */
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

    /** Returns the share of its full capacity that the server currently has. */
    double capacityShare(long nowTicks) {
        double progress = startedCold ? Math.min(1, (nowTicks - startTicks) / (double) profile.warmUpTicks()) : 1;
        return profile.warmUpInitialShare() + (1 - profile.warmUpInitialShare()) * progress;
    }

    /**
     * Records an arrival.
     *
     * @return whether the arrival overloads the server: within the window, the cold server has received more than the
     *     permitted multiple of its current capacity
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
