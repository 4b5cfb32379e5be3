package laurelkeel.partition;

import java.util.ArrayList;
import java.util.List;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointListUpdate;
import laurelkeel.api.Event.EndpointState;

/**
 * Decides which endpoints a partition's decider is shown: those of its rollout's build and of its baseline, as if there
 * were no other rollout.
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

    /** Whether a partition that chooses its baseline may be shown every endpoint. */
    boolean isEveryBuildVisible(TrafficPartition partition) {
        return rollouts.all().stream().noneMatch(rollout -> isUnknownRollback(partition, rollout.build()));
    }

    private boolean isUnknownRollback(TrafficPartition partition, int build) {
        return rollouts.isRolledBack(build) && !partition.knowsRollbackOf(build);
    }

    /** All endpoints that a partition may be shown. */
    List<EndpointEntry> visibleEndpoints(TrafficPartition partition, EndpointTable endpoints) {
        return endpoints.all().stream()
                .filter(entry -> isVisible(partition, entry))
                .toList();
    }

    /** An update as a partition's decider is to get it; notes in the partition what it is shown. */
    EndpointListUpdate filterUpdate(EndpointListUpdate update, TrafficPartition partition) {
        List<EndpointEntry> visible = new ArrayList<>();
        for (EndpointEntry entry : update.entries()) {
            if (isVisible(partition, entry)) {
                partition.markVisible(entry.endpointId());
                visible.add(entry);
            } else if (partition.markHidden(entry.endpointId())) {
                // restarted with another build: for this partition it is gone
                visible.add(asRemoved(entry));
            }
        }
        return new EndpointListUpdate(update.kind(), visible);
    }

    private static EndpointEntry asRemoved(EndpointEntry entry) {
        return new EndpointEntry(
                entry.endpointId(),
                entry.build(),
                entry.zone(),
                entry.cell(),
                entry.kind(),
                entry.weight(),
                EndpointState.REMOVED,
                entry.startedAtTicks());
    }
}
