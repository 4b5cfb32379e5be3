package laurelkeel.partition;

import java.util.List;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointListUpdate;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Event.RolloutUpdate;
import org.jspecify.annotations.Nullable;

/**
 * Opens and closes partitions as rollouts begin and end, and forwards to each partition's decider the rollout updates,
 * endpoints and baseline that concern it. Not thread-safe.
 */
final class PartitionManager {
    private final PartitionSet partitions;
    private final ConcurrentRollouts rollouts;
    private final EndpointTable endpoints;
    private final BaselineSelector baselines;
    private final BuildVisibility visibility;
    private final int maxOpenPartitions;
    private boolean baselinesOutdated;

    /**
     * @param guardedStages the number of stages, from the first, in which a canary may not receive all kinds of
     *     requests
     */
    PartitionManager(
            PartitionSet partitions,
            ConcurrentRollouts rollouts,
            EndpointTable endpoints,
            int guardedStages,
            int maxOpenPartitions) {
        this.partitions = partitions;
        this.rollouts = rollouts;
        this.endpoints = endpoints;
        this.baselines = new BaselineSelector(rollouts, endpoints, guardedStages);
        this.visibility = new BuildVisibility(rollouts);
        this.maxOpenPartitions = maxOpenPartitions;
    }

    /**
     * Forwards an update of a rollout, after opening a partition if the rollout has just begun.
     *
     * @param changed whether the update has changed the state of the rollouts
     */
    void onRolloutUpdate(RolloutUpdate update, boolean changed) {
        int build = update.build();
        TrafficPartition owner = findOrOpen(build);
        for (TrafficPartition partition : partitions) {
            boolean endsRollout = update.phase() == RolloutPhase.RELEASED && partition.rolloutBuild() < build;
            if (partition == owner || endsRollout) {
                partition.enqueueRolloutUpdate(update);
            }
        }
        if (owner != null) {
            owner.advanceRolloutBuild(build);
        }
        baselinesOutdated |= changed && isAnyPartitionRestricted();
        closeEnded();
    }

    private @Nullable TrafficPartition findOrOpen(int build) {
        TrafficPartition owner = partitions.findByRollout(build);
        if (owner != null) {
            return owner;
        }
        TrafficPartition first = partitions.first();
        if (partitions.isSingle() && (!rollouts.isCanary(first.rolloutBuild()) || build < first.rolloutBuild())) {
            return first;
        }
        boolean mayOpen = rollouts.isCanary(build)
                && build > rollouts.releasedBuild()
                && partitions.openCount() < maxOpenPartitions;
        return mayOpen ? open(build) : null;
    }

    private TrafficPartition open(int build) {
        TrafficPartition partition = partitions.open(build);
        // must precede the choice of the new partition's baseline, which a closed partition's baseline limits
        closeEnded();
        partition.setBaselineBuild(baselines.baselineFor(build));
        partition.announceBaseline();
        replaceVisibleEndpoints(partition);
        baselinesOutdated = true;
        return partition;
    }

    /** Closes partitions whose rollout has ended. The last open partition stays open and serves all builds. */
    private void closeEnded() {
        if (partitions.isSingle()) {
            return;
        }
        for (TrafficPartition partition : partitions) {
            boolean hasEnded = !rollouts.isCanary(partition.rolloutBuild());
            if (hasEnded && !partition.isClosing() && partitions.openCount() > 1) {
                close(partition);
            }
        }
    }

    private void close(TrafficPartition partition) {
        partition.close();
        baselinesOutdated = true;
        int baseline = partition.baselineBuild();
        if (baseline != partition.rolloutBuild() && rollouts.isCanary(baseline)) {
            rollouts.raiseMinimumBaseline(baseline);
        }
    }

    /** Forwards an update of the endpoint list that has already been applied to the endpoint table. */
    void onEndpointListUpdate(EndpointListUpdate update) {
        boolean restricted = isAnyPartitionRestricted();
        baselinesOutdated |= restricted;
        for (TrafficPartition partition : partitions) {
            if (!restricted && visibility.isEveryBuildVisible(partition)) {
                update.entries().forEach(entry -> partition.markVisible(entry.endpointId()));
                partition.enqueue(update);
            } else {
                partition.enqueue(visibility.filterUpdate(update, partition));
            }
        }
    }

    /**
     * Returns whether any partition is shown only some builds. The only remaining partition may still have the baseline
     * of one that was closed.
     */
    private boolean isAnyPartitionRestricted() {
        return !partitions.isSingle() || !partitions.first().choosesBaseline();
    }

    /** Chooses the partitions' baselines again if rollouts or endpoints have changed since the last call. */
    void refreshBaselines() {
        if (!baselinesOutdated) {
            return;
        }
        baselinesOutdated = false;
        for (TrafficPartition partition : partitions) {
            int baseline = nextBaseline(partition);
            if (baseline != partition.baselineBuild()) {
                partition.setBaselineBuild(baseline);
                replaceVisibleEndpoints(partition);
            }
        }
    }

    private int nextBaseline(TrafficPartition partition) {
        if (mayChooseBaseline(partition)) {
            return ConcurrentRollouts.NO_BUILD;
        }
        int baseline = baselines.baselineFor(partition.rolloutBuild());
        // as long as a build that has served as the baseline is a canary, only a later build replaces it
        int current = partition.baselineBuild();
        return rollouts.isCanary(current) ? Math.max(baseline, current) : baseline;
    }

    /**
     * Returns whether a partition's decider may choose the baseline itself. Only the decider of the single open
     * partition may, once it has been informed of all releases so far and no minimum baseline applies.
     */
    private boolean mayChooseBaseline(TrafficPartition partition) {
        return partitions.openCount() == 1
                && !partition.isClosing()
                && partition.announcedRelease() >= rollouts.releasedBuild()
                && rollouts.minimumBaseline() == ConcurrentRollouts.NO_BUILD;
    }

    private void replaceVisibleEndpoints(TrafficPartition partition) {
        List<EndpointEntry> visible = visibility.visibleEndpoints(partition, endpoints);
        partition.replaceEndpoints(visible);
    }
}
