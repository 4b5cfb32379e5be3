package laurelkeel.decision;

import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Event.RolloutUpdate;
import laurelkeel.api.Settings.Idempotency;
import laurelkeel.api.Settings.Rollout;
import laurelkeel.api.Ticks;

/**
 * Where the newest rollout stands, and which builds serve: a canary build, if there is one, and the stable build.
 *
 * <p>A build is a canary also from when the endpoint list names it until the control service does.
 */
final class RolloutState {
    /** Stands for no build at all. */
    static final int NO_BUILD = StickyKeys.NO_BUILD;

    /** A build can still be rolled back after its release; for so long it is judged. */
    private static final long JUDGED_AFTER_RELEASE_TICKS = 25 * Ticks.PER_SECOND;

    private final Rollout settings;
    private final TreeSet<Integer> releasedBuilds = new TreeSet<>(Set.of(NO_BUILD));
    private final Set<Integer> rolledBackBuilds = new HashSet<>();

    private int announcedBuild = NO_BUILD;
    private RolloutPhase phase = RolloutPhase.ROLLED_BACK;
    private int stage;
    private double announcedCap;
    private long stageStartedAtTicks;

    private int canaryBuild = NO_BUILD;
    private int stableBuild = NO_BUILD;
    private int baselineBuild = NO_BUILD;

    RolloutState(Rollout settings) {
        this.settings = settings;
    }

    /** Whether an update tells of the newest build known; others are out of date. */
    boolean isCurrent(RolloutUpdate update) {
        return update.status() == ControlStatus.OK && update.build() >= announcedBuild;
    }

    /**
     * Applies a current update.
     *
     * @return whether build, stage or phase have changed
     */
    boolean apply(RolloutUpdate update, long nowTicks) {
        boolean hasChanged = update.build() != announcedBuild || update.stage() != stage || update.phase() != phase;
        if (hasChanged) {
            stageStartedAtTicks = nowTicks - update.ageTicks();
        }
        announcedBuild = update.build();
        stage = update.stage();
        phase = update.phase();
        announcedCap = update.exposureCap();
        switch (phase) {
            case ROLLING_BACK, ROLLED_BACK -> {
                rolledBackBuilds.add(announcedBuild);
                releasedBuilds.remove(announcedBuild);
            }
            case RELEASED -> releasedBuilds.add(announcedBuild);
            case CANARY -> {}
        }
        return hasChanged;
    }

    /** Chooses the canary and the stable build anew, at every decision. */
    void selectBuilds(BuildCapacities capacities, long nowTicks) {
        canaryBuild = findCanary(Math.max(announcedBuild, capacities.newestActiveBuild()));
        stableBuild = findStable(capacities, nowTicks);
        baselineBuild = canaryBuild >= 0 ? stableBuild : baselineBuild;
    }

    private int findCanary(int newestBuild) {
        if (phase == RolloutPhase.CANARY) {
            return announcedBuild;
        }
        return newestBuild > announcedBuild && announcedBuild >= 0 ? newestBuild : NO_BUILD;
    }

    /** Finds the build with most capacity from the last released one on that is neither canary nor rolled back. */
    private int findStable(BuildCapacities capacities, long nowTicks) {
        if (phase == RolloutPhase.RELEASED) {
            return announcedBuild;
        }
        int largest = NO_BUILD;
        double largestCapacity = 0;
        for (int build : capacities.activeBuilds()) {
            boolean isCandidate = (announcedBuild < 0 || build < announcedBuild) && build >= releasedBuilds.last();
            double capacity = isCandidate ? capacities.currentCapacity(build, nowTicks) : 0;
            if (capacity > largestCapacity && !rolledBackBuilds.contains(build)) {
                largestCapacity = capacity;
                largest = build;
            }
        }
        boolean mayKeepLast = stableBuild < announcedBuild && !rolledBackBuilds.contains(stableBuild);
        return largest < 0 && mayKeepLast ? stableBuild : largest;
    }

    /** Returns the newest build that the control service has named, or {@link #NO_BUILD}. */
    int announcedBuild() {
        return announcedBuild;
    }

    RolloutPhase phase() {
        return phase;
    }

    /** Returns the stage of the announced build, from 0. */
    int stage() {
        return stage;
    }

    /** Returns since when build, stage and phase are what they are. */
    long stageStartedAtTicks() {
        return stageStartedAtTicks;
    }

    /** Returns the build under test, or {@link #NO_BUILD}. */
    int canaryBuild() {
        return canaryBuild;
    }

    boolean hasCanary() {
        return canaryBuild >= 0;
    }

    /** Returns the build that serves what the canary does not, or {@link #NO_BUILD} where no build may. */
    int stableBuild() {
        return stableBuild;
    }

    /** Returns the build to compare the canary with; after its release, the one that was stable before. */
    int baselineBuild() {
        return baselineBuild;
    }

    /** Returns the build under judgement, or {@link #NO_BUILD}: the canary, or a build released a short while ago. */
    int judgedBuild(long nowTicks) {
        if (hasCanary()) {
            return canaryBuild;
        }
        boolean isJustReleased = phase == RolloutPhase.RELEASED
                && baselineBuild >= 0
                && nowTicks < stageStartedAtTicks + JUDGED_AFTER_RELEASE_TICKS;
        return isJustReleased ? announcedBuild : NO_BUILD;
    }

    /** Returns the share of the requests that the canary may get, from 0 to 1; the first stage's before its news. */
    double exposureCap() {
        return isCanaryAnnounced() ? announcedCap : settings.stageExposureCaps().get(0);
    }

    /** Whether stage and cap let the canary serve requests of such a route at all. */
    boolean mayExpose(Idempotency idempotency) {
        int canaryStage = isCanaryAnnounced() ? stage : 0;
        boolean isGuarded = canaryStage < settings.guardedStages();
        return exposureCap() > 0 && (!isGuarded || idempotency == Idempotency.IDEMPOTENT);
    }

    private boolean isCanaryAnnounced() {
        return canaryBuild <= announcedBuild;
    }

    /** Whether a key that a build has served goes to no older build any more. */
    boolean bindsKeys(int build) {
        return settings.stickyKeys() && build > stableBuild && !rolledBackBuilds.contains(build);
    }
}
