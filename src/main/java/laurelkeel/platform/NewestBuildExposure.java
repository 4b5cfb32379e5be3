package laurelkeel.platform;

import laurelkeel.api.Event;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.RolloutPhase;

/**
 * Remembers when the newest build's share of the requests was last lowered, so that attempts decided before that are not
 * sent after it.
 *
 * <p>Not thread-safe.
 */
final class NewestBuildExposure {
    private static final int NO_BUILD = -1;
    private static final long NEVER = Long.MIN_VALUE;

    private int newestBuild = NO_BUILD;
    private double exposureCap;
    private long loweredAtTicks = NEVER;

    /** Follows an update of the control service; one without a state, or of an earlier build, changes nothing. */
    void onUpdate(Event.RolloutUpdate update, long nowTicks) {
        if (update.status() != ControlStatus.OK || update.build() < newestBuild) {
            return;
        }
        double cap = effectiveCap(update);
        if (update.build() > newestBuild || cap < exposureCap) {
            loweredAtTicks = nowTicks;
        }
        newestBuild = update.build();
        exposureCap = cap;
    }

    private static double effectiveCap(Event.RolloutUpdate update) {
        boolean serves = update.phase() == RolloutPhase.CANARY || update.phase() == RolloutPhase.RELEASED;
        return serves ? update.exposureCap() : 0;
    }

    /** Whether an attempt at an endpoint of a build, decided at a moment, may still be sent. */
    boolean maySend(int build, long decidedAtTicks) {
        return build < newestBuild || loweredAtTicks < decidedAtTicks;
    }
}
