package laurelkeel.decision;

import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Ticks;
import org.jspecify.annotations.Nullable;

/** One process of the service, for as long as the endpoint list names it with the same build and start. */
final class Endpoint {
    /** So long after its start, the outcomes of an endpoint do not count for its build. */
    static final long SETTLING_TICKS = 3 * Ticks.PER_SECOND;

    // a latency ratio beyond these limits is more likely noise than a lasting difference
    private static final double MIN_WEIGHED_LATENCY_RATIO = 0.4;
    private static final double MAX_WEIGHED_LATENCY_RATIO = 3;

    private final String id;
    private final int build;
    private final int zone;
    private final int cell;
    private final long startedAtTicks;
    private final double crossZoneRequests;
    private final double ringPosition;
    private final EndpointHealth health = new EndpointHealth();
    private final EndpointLatency latency = new EndpointLatency();
    private final WarmUpBudget warmUpBudget = new WarmUpBudget();

    private double capacity;
    private boolean isActive;
    private int inFlight;
    private double otherRequests;

    private @Nullable BuildEndpoints pool;
    private int poolIndex;
    private double credit;
    private boolean isWeightStable;
    private boolean isInSubset;

    /** @param crossZoneRequests the price of the way to it, as a number of requests that it is taken to serve besides */
    Endpoint(EndpointEntry entry, double crossZoneRequests) {
        id = entry.endpointId();
        build = entry.build();
        zone = entry.zone();
        cell = entry.cell();
        startedAtTicks = entry.startedAtTicks();
        ringPosition = EndpointSubset.ringPosition(id);
        this.crossZoneRequests = crossZoneRequests;
    }

    /** Whether an entry of the list means this process. */
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

    /** Returns when it started; 0 for long ago. */
    long startedAtTicks() {
        return startedAtTicks;
    }

    /** Whether the way to it costs nothing. */
    boolean isLocal() {
        return crossZoneRequests == 0;
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

    /** Returns its capacity when warm, beside that of other endpoints. */
    double capacity() {
        return capacity;
    }

    void setCapacity(double capacity) {
        this.capacity = capacity;
    }

    /** Whether the list names it and new attempts may be sent to it. */
    boolean isActive() {
        return isActive;
    }

    void setActive(boolean isActive) {
        this.isActive = isActive;
    }

    /** Whether it has run for long enough for its outcomes to count for its build. */
    boolean isSettled(long nowTicks) {
        return startedAtTicks == 0 || nowTicks >= startedAtTicks + SETTLING_TICKS;
    }

    /** Returns this node's attempts in flight. */
    int inFlight() {
        return inFlight;
    }

    /** Returns the requests that it is known to serve, for this node and for others. */
    double knownRequests() {
        return inFlight + otherRequests;
    }

    void attemptStarted() {
        inFlight++;
        publishRequests();
    }

    void attemptEnded() {
        inFlight--;
        publishRequests();
    }

    /** Takes note of how many requests it was serving when it answered, with the one that it answered. */
    void loadReported(double concurrentRequests) {
        otherRequests = Math.max(0, concurrentRequests - inFlight - 1);
        publishRequests();
    }

    /** Makes the pool look at it before its next turn, for it may have to be left out. */
    void eligibilityChanged() {
        if (pool != null) {
            pool.invalidateEligibility();
        }
    }

    // ---- its place in a pool

    /** Moves it to a pool. */
    void joinPool(BuildEndpoints newPool, int index) {
        pool = newPool;
        poolIndex = index;
        isWeightStable = false;
    }

    /** Returns what it is owed of the turns when it joins a pool, in units of weight. */
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

    /** Whether its weight changes with its latency only, and no more with time. */
    boolean isWeightStable() {
        return isWeightStable;
    }

    /** Sets its weight in the round robin by capacity, warm-up and latency. */
    void updateWeight(SlowStart slowStart, long nowTicks) {
        isWeightStable = slowStart.isWarm(startedAtTicks, nowTicks);
        if (pool != null) {
            double latencyRatio = Math.max(
                    MIN_WEIGHED_LATENCY_RATIO, Math.min(MAX_WEIGHED_LATENCY_RATIO, latency.meanRatioToExpected()));
            double weight = capacity * slowStart.capacityShare(startedAtTicks, nowTicks) / latencyRatio;
            pool.rotation().setWeight(poolIndex, weight);
        }
        publishRequests();
    }

    private void publishRequests() {
        if (pool != null) {
            pool.rotation().setRequests(poolIndex, knownRequests() + crossZoneRequests);
        }
    }
}
