package laurelkeel.decision;

import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Ticks;
import org.jspecify.annotations.Nullable;

/** One process of the service: an id in the endpoint list with an unchanged build and start time. */
final class Endpoint {
    /** Time after its start during which the outcomes of an endpoint do not count for its build. */
    static final long SETTLING_TICKS = 3 * Ticks.PER_SECOND;

    // a latency ratio outside these limits is more likely noise than a lasting difference
    private static final double MIN_LATENCY_RATIO = 0.4;
    private static final double MAX_LATENCY_RATIO = 3;

    private final String id;
    private final int build;
    private final int zone;
    private final int cell;
    private final long startedAtTicks;
    private final double crossZonePenaltyRequests;
    private final double ringPosition;
    private final EndpointHealth health = new EndpointHealth();
    private final EndpointLatency latency = new EndpointLatency();
    private final WarmUpBudget warmUpBudget = new WarmUpBudget();

    private double capacity;
    private boolean isActive;
    private int inFlight;
    private double otherNodesRequests;

    private @Nullable BuildEndpoints pool;
    private int poolIndex;
    private double credit;
    private boolean isWeightStable;
    private boolean isInSubset;

    /**
     * @param crossZonePenaltyRequests the cost of crossing zones, as a number of requests added to the endpoint's load
     */
    Endpoint(EndpointEntry entry, double crossZonePenaltyRequests) {
        id = entry.endpointId();
        build = entry.build();
        zone = entry.zone();
        cell = entry.cell();
        startedAtTicks = entry.startedAtTicks();
        ringPosition = EndpointSubset.ringPosition(id);
        this.crossZonePenaltyRequests = crossZonePenaltyRequests;
    }

    /** Returns whether an entry of the endpoint list with the same id refers to this process. */
    boolean isSameProcess(EndpointEntry entry) {
        return startedAtTicks == entry.startedAtTicks() && build == entry.build();
    }

    String id() {
        return id;
    }

    int build() {
        return build;
    }

    int zone() {
        return zone;
    }

    int cell() {
        return cell;
    }

    /** Returns when the endpoint started; 0 if it started long ago. */
    long startedAtTicks() {
        return startedAtTicks;
    }

    /** Returns whether requests to the endpoint have no cross-zone cost. */
    boolean isLocal() {
        return crossZonePenaltyRequests == 0;
    }

    double ringPosition() {
        return ringPosition;
    }

    EndpointHealth health() {
        return health;
    }

    EndpointLatency latency() {
        return latency;
    }

    WarmUpBudget warmUpBudget() {
        return warmUpBudget;
    }

    /** Returns the endpoint's capacity when warm, relative to other endpoints. */
    double capacity() {
        return capacity;
    }

    void setCapacity(double capacity) {
        this.capacity = capacity;
    }

    /** Returns whether the endpoint is in the endpoint list and new attempts may be sent to it. */
    boolean isActive() {
        return isActive;
    }

    void setActive(boolean isActive) {
        this.isActive = isActive;
    }

    /** Returns whether the endpoint has run long enough for its outcomes to count for its build. */
    boolean isSettled(long nowTicks) {
        return startedAtTicks == 0 || nowTicks >= startedAtTicks + SETTLING_TICKS;
    }

    /** Returns the number of this node's attempts in flight at the endpoint. */
    int inFlight() {
        return inFlight;
    }

    /** Returns the number of requests that the endpoint is known to serve, for this and other nodes. */
    double knownRequests() {
        return inFlight + otherNodesRequests;
    }

    void attemptStarted() {
        inFlight++;
        updateRotationLoad();
    }

    void attemptEnded() {
        inFlight--;
        updateRotationLoad();
    }

    /** Records how many requests the endpoint was serving when it answered, including the answered one. */
    void loadReported(double concurrentRequests) {
        otherNodesRequests = Math.max(0, concurrentRequests - inFlight - 1);
        updateRotationLoad();
    }

    /** Makes the pool check its endpoints again before the next pick, because this one may no longer be eligible. */
    void eligibilityChanged() {
        if (pool != null) {
            pool.invalidateEligibility();
        }
    }

    /** Assigns the endpoint to a pool, in which it has the given index. */
    void joinPool(BuildEndpoints newPool, int index) {
        pool = newPool;
        poolIndex = index;
        isWeightStable = false;
    }

    /** Returns the endpoint's round-robin credit when it joins a pool, in units of weight. */
    double credit() {
        return credit;
    }

    void setCredit(double credit) {
        this.credit = credit;
    }

    boolean isInSubset() {
        return isInSubset;
    }

    void setInSubset(boolean isMember) {
        isInSubset = isMember;
    }

    /**
     * Returns whether the endpoint is warm, so that its weight no longer changes with time but only with its latency.
     */
    boolean isWeightStable() {
        return isWeightStable;
    }

    /** Updates the endpoint's round-robin weight from its capacity, warm-up and latency. */
    void updateWeight(SlowStart slowStart, long nowTicks) {
        isWeightStable = slowStart.isWarm(startedAtTicks, nowTicks);
        if (pool != null) {
            double latencyRatio =
                    Math.max(MIN_LATENCY_RATIO, Math.min(MAX_LATENCY_RATIO, latency.meanRatioToExpected()));
            double weight = capacity * slowStart.capacityShare(startedAtTicks, nowTicks) / latencyRatio;
            pool.rotation().setWeight(poolIndex, weight);
        }
        updateRotationLoad();
    }

    private void updateRotationLoad() {
        if (pool != null) {
            pool.rotation().setRequests(poolIndex, knownRequests() + crossZonePenaltyRequests);
        }
    }
}
