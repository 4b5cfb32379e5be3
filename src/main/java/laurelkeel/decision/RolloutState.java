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
 * Progress of the newest rollout, and the builds that serve: the stable build, and a canary build if there is one.
 *
 * <p>A new build in the endpoint list counts as a canary even before the control service announces it.
 */
final class RolloutState {
    /** Represents the absence of a build. */
    static final int NO_BUILD = StickyKeys.NO_BUILD;

    /** How long a build is evaluated after its release, because it can still be rolled back then. */
    private static final long EVALUATION_AFTER_RELEASE_TICKS = 25 * Ticks.PER_SECOND;

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

    /**
     * Returns whether an update is valid and neither names a build older than the newest one announced, nor was overtaken by a
     * later update of that one.
     */
    boolean isCurrent(RolloutUpdate update, long nowTicks) {
        return update.status() == ControlStatus.OK
                && update.build() >= announcedBuild
                && !isOvertaken(update, nowTicks);
    }

    /** Returns whether an update names an earlier phase of the newest build than one that has arrived before. */
    boolean isOvertaken(RolloutUpdate update, long nowTicks) {
        return update.status() == ControlStatus.OK
                && update.build() == announcedBuild
                && update.isOvertakenBy(phase, stageStartedAtTicks, nowTicks);
    }

    /**
     * Applies a current update.
     *
     * @return whether the build, stage or phase has changed
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

    /** Selects the canary and the stable build; called for every decision. */
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

    /**
     * Returns the announced build once it is released. Otherwise returns the build with the most capacity that is no older
     * than the last released one, and neither canary nor rolled back. If there is none, the last stable build may remain.
     */
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

    /** Returns the newest build that the control service has announced, or {@link #NO_BUILD}. */
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

    /** Returns when the build, stage or phase last changed. */
    long stageStartedAtTicks() {
        return stageStartedAtTicks;
    }

    /** Returns the canary build, or {@link #NO_BUILD}. */
    int canaryBuild() {
        return canaryBuild;
    }

    boolean hasCanary() {
        return canaryBuild >= 0;
    }

    /** Returns the build that serves what the canary does not, or {@link #NO_BUILD} if no build may. */
    int stableBuild() {
        return stableBuild;
    }

    /** Returns the build to compare the canary with; after the release, the previous stable build. */
    int baselineBuild() {
        return baselineBuild;
    }

    /** Returns the build under evaluation: the canary, a recently released build, or {@link #NO_BUILD}. */
    int evaluatedBuild(long nowTicks) {
        if (hasCanary()) {
            return canaryBuild;
        }
        boolean isRecentlyReleased = phase == RolloutPhase.RELEASED
                && baselineBuild >= 0
                && nowTicks < stageStartedAtTicks + EVALUATION_AFTER_RELEASE_TICKS;
        return isRecentlyReleased ? announcedBuild : NO_BUILD;
    }

    /**
     * Returns the share of the requests that the canary may receive, from 0 to 1. Until the canary is announced, it is the
     * first stage's.
     */
    double exposureCap() {
        return isCanaryAnnounced() ? announcedCap : settings.stageExposureCaps().get(0);
    }

    /** Returns whether the stage and the cap let the canary serve any requests of this idempotency. */
    boolean mayExpose(Idempotency idempotency) {
        int canaryStage = isCanaryAnnounced() ? stage : 0;
        boolean isGuarded = canaryStage < settings.guardedStages();
        return exposureCap() > 0 && (!isGuarded || idempotency == Idempotency.IDEMPOTENT);
    }

    private boolean isCanaryAnnounced() {
        return canaryBuild <= announcedBuild;
    }

    /** Returns whether keys that a build has served must not go to an older build. */
    boolean bindsKeys(int build) {
        return settings.stickyKeys() && build > stableBuild && !rolledBackBuilds.contains(build);
    }
}
