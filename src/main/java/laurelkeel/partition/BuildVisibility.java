package laurelkeel.partition;

import java.util.ArrayList;
import java.util.List;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointListUpdate;
import laurelkeel.api.Event.EndpointState;

/**
 * Determines which endpoints are visible to a partition's decider: those of its rollout's build and of its baseline, as
 * if there were no other rollout.
 */
final class BuildVisibility {
    private final ConcurrentRollouts rollouts;

    BuildVisibility(ConcurrentRollouts rollouts) {
        this.rollouts = rollouts;
    }

    boolean isVisible(TrafficPartition partition, EndpointEntry entry) {
        int build = entry.build();
        if (build == partition.rolloutBuild() || build == partition.baselineBuild()) {
            return true;
        }
        // a decider that chooses its baseline must not choose a build whose rollback it does not know of
        return partition.choosesBaseline() && !isUnknownRollback(partition, build);
    }

    /** Returns whether all endpoints may be visible to a partition that chooses its baseline. */
    boolean isEveryBuildVisible(TrafficPartition partition) {
        return rollouts.all().stream().noneMatch(rollout -> isUnknownRollback(partition, rollout.build()));
    }

    private boolean isUnknownRollback(TrafficPartition partition, int build) {
        return rollouts.isRolledBack(build) && !partition.knowsRollbackOf(build);
    }

    /** Returns all endpoints that may be visible to a partition. */
    List<EndpointEntry> visibleEndpoints(TrafficPartition partition, EndpointTable endpoints) {
        return endpoints.all().stream()
                .filter(entry -> isVisible(partition, entry))
                .toList();
    }

    /**
     * Returns an update as a partition's decider is to receive it, and records in the partition which endpoints are
     * visible.
     */
    EndpointListUpdate filterUpdate(EndpointListUpdate update, TrafficPartition partition) {
        List<EndpointEntry> visible = new ArrayList<>();
        for (EndpointEntry entry : update.entries()) {
            if (isVisible(partition, entry)) {
                partition.markVisible(entry.endpointId());
                visible.add(entry);
            } else if (partition.markHidden(entry.endpointId())) {
                // the endpoint has restarted with another build: for this partition it is removed
                visible.add(entry.withState(EndpointState.REMOVED));
            }
        }
        return new EndpointListUpdate(update.kind(), visible);
    }
}
