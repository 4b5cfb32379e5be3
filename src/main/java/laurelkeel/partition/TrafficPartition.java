package laurelkeel.partition;

import static laurelkeel.partition.ConcurrentRollouts.NO_BUILD;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import laurelkeel.api.Action;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Event.RolloutUpdate;
import laurelkeel.api.WritePermission;

/**
 * One share of the requests, with the decider that makes all decisions for it and the information that this decider has
 * received. Not thread-safe.
 */
final class TrafficPartition {
    private final int id;
    private final Decider decider;
    private final ExposureWindow acceptedRequests;
    private final Set<String> visibleEndpoints = new HashSet<>();
    private final Set<Integer> announcedRollbacks = new HashSet<>();

    private int rolloutBuild;
    private int baselineBuild = NO_BUILD;
    private int announcedRelease = NO_BUILD;
    /** The exposure cap that the decider applies; NaN if it is that of the last rollout update. */
    private double announcedCap = Double.NaN;

    private boolean closing;
    private int openRequests;
    private List<Event> pendingEvents = new ArrayList<>();
    private List<Event> spareEvents = new ArrayList<>();

    /**
     * Creates an open partition.
     *
     * @param rolloutBuild the build that is rolled out in this partition, or {@link ConcurrentRollouts#NO_BUILD}
     * @param acceptedRequests counts the requests that are assigned to this partition
     */
    TrafficPartition(int id, int rolloutBuild, Decider decider, ExposureWindow acceptedRequests) {
        this.id = id;
        this.rolloutBuild = rolloutBuild;
        this.decider = decider;
        this.acceptedRequests = acceptedRequests;
    }

    int id() {
        return id;
    }

    /** Returns the build that is or was rolled out in this partition, or {@link ConcurrentRollouts#NO_BUILD}. */
    int rolloutBuild() {
        return rolloutBuild;
    }

    /** Assigns a further rollout to this partition if its build is later than the current one. */
    void advanceRolloutBuild(int build) {
        rolloutBuild = Math.max(rolloutBuild, build);
    }

    /**
     * Returns the build that serves the other requests of this partition, or {@link ConcurrentRollouts#NO_BUILD} if the
     * decider chooses it.
     */
    int baselineBuild() {
        return baselineBuild;
    }

    void setBaselineBuild(int build) {
        baselineBuild = build;
    }

    /** Returns whether the decider chooses the baseline itself, from all endpoints that are visible to it. */
    boolean choosesBaseline() {
        return baselineBuild == NO_BUILD;
    }

    /** Returns whether this partition takes no further requests. */
    boolean isClosing() {
        return closing;
    }

    void close() {
        closing = true;
    }

    /** Returns whether this partition is closing and has no request left that needs its decider. */
    boolean isDrained() {
        return closing && openRequests == 0;
    }

    ExposureWindow acceptedRequests() {
        return acceptedRequests;
    }

    void onRequestAssigned(int route, long nowTicks) {
        openRequests++;
        acceptedRequests.add(route, nowTicks);
    }

    void onRequestCompleted() {
        openRequests--;
    }

    boolean hasPendingEvents() {
        return !pendingEvents.isEmpty();
    }

    /** Queues an event for the next call of the decider. */
    void enqueue(Event event) {
        pendingEvents.add(event);
    }

    /** Passes all queued events to the decider. Events that its actions cause are queued for the next call. */
    List<Action> decide(long nowTicks) {
        List<Event> events = pendingEvents;
        spareEvents.clear();
        pendingEvents = spareEvents;
        spareEvents = events;
        return decider.decide(nowTicks, events);
    }

    /** Asks the decider whether an attempt, numbered within this partition, may be written now. */
    WritePermission mayWrite(String requestId, int attempt, long nowTicks) {
        return decider.mayWrite(requestId, attempt, nowTicks);
    }

    /** Queues an update of this partition's rollout, or of a rollout that ends it. */
    void enqueueRolloutUpdate(RolloutUpdate update) {
        announcedCap = Double.NaN;
        enqueue(update);
        // a decider ignores updates of builds that are earlier than its own
        if (update.build() >= rolloutBuild) {
            if (RolloutRecord.isRolledBack(update.phase())) {
                announcedRollbacks.add(update.build());
            }
            if (update.phase() == RolloutPhase.RELEASED) {
                announcedRelease = Math.max(announcedRelease, update.build());
            }
        }
    }

    /** Announces the baseline to a newly created decider. */
    void announceBaseline() {
        if (!choosesBaseline()) {
            enqueue(new RolloutUpdate(ControlStatus.OK, 0, 1, 0, RolloutPhase.RELEASED, baselineBuild, false));
            announcedRelease = baselineBuild;
        }
    }

    /** Announces the exposure cap to the decider if the decider applies a different one. */
    void announceCap(RolloutRecord rollout, double cap) {
        double knownCap = Double.isNaN(announcedCap) ? rollout.exposureCap() : announcedCap;
        if (cap != knownCap) {
            enqueue(new RolloutUpdate(
                    ControlStatus.OK, rollout.stage(), cap, 0, rollout.phase(), rollout.build(), false));
        }
        announcedCap = cap;
    }

    /** Returns the latest build that the decider knows to be released, or {@link ConcurrentRollouts#NO_BUILD}. */
    int announcedRelease() {
        return announcedRelease;
    }

    /**
     * Returns whether the decider knows that a build is being or has been rolled back. The decider might choose a build
     * as its baseline if it does not know of the rollback.
     */
    boolean knowsRollbackOf(int build) {
        return announcedRollbacks.contains(build);
    }

    /** Replaces the endpoint list that the decider uses. */
    void replaceEndpoints(List<EndpointEntry> entries) {
        visibleEndpoints.clear();
        entries.forEach(entry -> visibleEndpoints.add(entry.endpointId()));
        // CACHED, since this update does not indicate how recent the endpoint list is
        enqueue(new Event.EndpointListUpdate(EndpointListKind.CACHED, entries));
    }

    boolean isVisible(String endpointId) {
        return visibleEndpoints.contains(endpointId);
    }

    void markVisible(String endpointId) {
        visibleEndpoints.add(endpointId);
    }

    /**
     * Records that an endpoint is hidden from the decider.
     *
     * @return whether the endpoint was visible to the decider before
     */
    boolean markHidden(String endpointId) {
        return visibleEndpoints.remove(endpointId);
    }
}
