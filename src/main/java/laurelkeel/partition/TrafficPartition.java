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

/**
 * One share of the requests, with the decider that takes all decisions for it and what that decider knows. Not
 * thread-safe.
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
    /** The exposure cap that the decider goes by; NaN where it is that of the last update. */
    private double announcedCap = Double.NaN;

    private boolean closing;
    private int openRequests;
    private List<Event> pendingEvents = new ArrayList<>();
    private List<Event> spareEvents = new ArrayList<>();

    /**
     * Creates an open partition.
     *
     * @param rolloutBuild the build that is rolled out in it, or {@link ConcurrentRollouts#NO_BUILD}
     * @param acceptedRequests counts the requests that are assigned to it
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

    /** The build that is or was rolled out in it, or {@link ConcurrentRollouts#NO_BUILD}. */
    int rolloutBuild() {
        return rolloutBuild;
    }

    /** Hands a further rollout to this partition, where its build is later. */
    void advanceRolloutBuild(int build) {
        rolloutBuild = Math.max(rolloutBuild, build);
    }

    /** The build that serves its other requests; {@link ConcurrentRollouts#NO_BUILD} leaves that to the decider. */
    int baselineBuild() {
        return baselineBuild;
    }

    void setBaselineBuild(int build) {
        baselineBuild = build;
    }

    /** Whether the decider chooses the baseline itself, from all endpoints that it is shown. */
    boolean choosesBaseline() {
        return baselineBuild == NO_BUILD;
    }

    /** Whether it takes no further requests. */
    boolean isClosing() {
        return closing;
    }

    void close() {
        closing = true;
    }

    /** Whether it is closing and has no request left that needs its decider. */
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

    /** Keeps an event for the decider's next turn. */
    void enqueue(Event event) {
        pendingEvents.add(event);
    }

    /** Gives the decider all events so far; what its actions bring about waits for the next call. */
    List<Action> decide(long nowTicks) {
        List<Event> events = pendingEvents;
        spareEvents.clear();
        pendingEvents = spareEvents;
        spareEvents = events;
        return decider.decide(nowTicks, events);
    }

    /** Passes on an update of its own rollout, or of one that ends it. */
    void enqueueRolloutUpdate(RolloutUpdate update) {
        announcedCap = Double.NaN;
        enqueue(update);
        // a decider ignores updates of builds before its own
        if (update.build() >= rolloutBuild) {
            if (RolloutRecord.of(update).isRolledBack()) {
                announcedRollbacks.add(update.build());
            }
            if (update.phase() == RolloutPhase.RELEASED) {
                announcedRelease = Math.max(announcedRelease, update.build());
            }
        }
    }

    /** Announces the baseline to a decider that has just been created. */
    void announceBaseline() {
        if (!choosesBaseline()) {
            enqueue(new RolloutUpdate(ControlStatus.OK, 0, 1, 0, RolloutPhase.RELEASED, baselineBuild, false));
            announcedRelease = baselineBuild;
        }
    }

    /** Announces the exposure cap to keep to, where the decider goes by another. */
    void announceCap(RolloutRecord rollout, double cap) {
        double knownCap = Double.isNaN(announcedCap) ? rollout.exposureCap() : announcedCap;
        if (cap != knownCap) {
            enqueue(new RolloutUpdate(
                    ControlStatus.OK, rollout.stage(), cap, 0, rollout.phase(), rollout.build(), false));
        }
        announcedCap = cap;
    }

    /** The latest build that the decider knows as released, or {@link ConcurrentRollouts#NO_BUILD}. */
    int announcedRelease() {
        return announcedRelease;
    }

    /** Whether the decider knows that a build is rolled back; of others it might make its baseline. */
    boolean knowsRollbackOf(int build) {
        return announcedRollbacks.contains(build);
    }

    /** Replaces the endpoint list that the decider knows. */
    void replaceEndpoints(List<EndpointEntry> entries) {
        visibleEndpoints.clear();
        entries.forEach(entry -> visibleEndpoints.add(entry.endpointId()));
        // cached: it says nothing of how recent the list itself is
        enqueue(new Event.EndpointListUpdate(EndpointListKind.CACHED, entries));
    }

    boolean isVisible(String endpointId) {
        return visibleEndpoints.contains(endpointId);
    }

    void markVisible(String endpointId) {
        visibleEndpoints.add(endpointId);
    }

    /**
     * Notes that an endpoint is to be hidden from the decider.
     *
     * @return whether the decider had been shown it
     */
    boolean markHidden(String endpointId) {
        return visibleEndpoints.remove(endpointId);
    }
}
