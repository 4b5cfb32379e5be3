package laurelkeel.platform;

import laurelkeel.api.Event;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.RolloutPhase;

/**
 * Records when the exposure of the newest build was last lowered, so that attempts decided before that time are not
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

    /** Applies an update from the control service; one without a state or for an earlier build is ignored. */
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

    /** Returns whether an attempt that was decided at the given time may still be sent to an endpoint of the build. */
    boolean maySend(int build, long decidedAtTicks) {
        return build < newestBuild || loweredAtTicks < decidedAtTicks;
    }
}
