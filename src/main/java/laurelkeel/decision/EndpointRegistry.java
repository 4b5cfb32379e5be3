package laurelkeel.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointListUpdate;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Settings;
import laurelkeel.api.Ticks;
import org.jspecify.annotations.Nullable;

/** The endpoints of the endpoint list, pooled by build. */
final class EndpointRegistry implements BuildCapacities {
    /** Requests added to the load of an endpoint in another zone, per unit of the cross-zone cost. */
    private static final double PENALTY_REQUESTS_PER_CROSS_ZONE_COST = 8;

    /** Keeps the round-robin weights above 0. */
    private static final double MIN_CAPACITY = 1e-3;

    private static final long SUBSET_INTERVAL_TICKS = Ticks.PER_SECOND;

    private final Settings settings;
    private final SeededRandom random;
    private final SlowStart slowStart;
    private final EndpointSubset subset;
    private final Map<String, Endpoint> endpointsById = new TreeMap<>();
    private final Map<Integer, BuildEndpoints> poolsByBuild = new LinkedHashMap<>();
    private int newestBuild = Integer.MIN_VALUE;
    private double activeCapacity;
    private long nextSubsetUpdateAtTicks;

    EndpointRegistry(Settings settings, SeededRandom random, SlowStart slowStart) {
        this.settings = settings;
        this.random = random;
        this.slowStart = slowStart;
        subset = new EndpointSubset(settings.nodeIndex(), settings.nodeCount());
    }

    /** Applies an update of the endpoint list and rebuilds the pools. */
    void apply(EndpointListUpdate update, long nowTicks) {
        Set<String> listedIds = new HashSet<>();
        for (EndpointEntry entry : update.entries()) {
            listedIds.add(entry.endpointId());
            applyEntry(entry, update.entries().size(), nowTicks);
        }
        if (update.kind() != EndpointListKind.DELTA) {
            endpointsById.values().forEach(e -> e.setActive(e.isActive() && listedIds.contains(e.id())));
        }
        endpointsById.values().removeIf(e -> !e.isActive() && e.inFlight() == 0 && !listedIds.contains(e.id()));
        rebuildPools();
    }

    private void applyEntry(EndpointEntry entry, int entryCount, long nowTicks) {
        Endpoint endpoint = endpointsById.get(entry.endpointId());
        // the statistics of an id do not apply to another process that now has the same id
        if (endpoint == null || !endpoint.isSameProcess(entry)) {
            if (endpoint != null) {
                endpoint.setActive(false);
            }
            endpoint = new Endpoint(entry, crossZonePenaltyRequests(entry));
            endpointsById.put(endpoint.id(), endpoint);
            endpoint.warmUpBudget().renewRounding(random, settings.limits().overloadWindowTicks(), nowTicks);
            // random initial credits, so that the nodes do not all send their first attempts to the same endpoint
            endpoint.setCredit(
                    (random.nextDouble() - 0.5) * entry.weight() * Math.max(endpointsById.size(), entryCount));
        }
        endpoint.setCapacity(Math.max(entry.weight(), MIN_CAPACITY));
        endpoint.setActive(entry.state() == EndpointState.ACTIVE);
    }

    private double crossZonePenaltyRequests(EndpointEntry entry) {
        return entry.zone() == settings.zone()
                ? 0
                : PENALTY_REQUESTS_PER_CROSS_ZONE_COST * settings.costs().crossZone();
    }

    private void rebuildPools() {
        poolsByBuild.values().forEach(BuildEndpoints::saveCredits);
        poolsByBuild.clear();
        Map<Integer, List<Endpoint>> activeByBuild = new LinkedHashMap<>();
        for (Endpoint endpoint : endpointsById.values()) {
            if (endpoint.isActive()) {
                activeByBuild
                        .computeIfAbsent(endpoint.build(), build -> new ArrayList<>())
                        .add(endpoint);
            }
        }
        activeByBuild.forEach((build, endpoints) -> {
            BuildEndpoints pool = new BuildEndpoints(endpoints);
            pool.reselect(subset);
            poolsByBuild.put(build, pool);
        });
        newestBuild =
                poolsByBuild.keySet().stream().mapToInt(build -> build).max().orElse(Integer.MIN_VALUE);
        activeCapacity = endpointsById.values().stream()
                .filter(Endpoint::isActive)
                .mapToDouble(Endpoint::capacity)
                .sum();
    }

    /**
     * Adapts, once per second, the size of the endpoint subsets of large builds, and replaces suspects in them.
     *
     * @param inFlight number of this node's attempts in flight
     * @param areAttemptsQueueing whether attempts wait at endpoints before they are served
     */
    void adaptSubsets(int inFlight, boolean areAttemptsQueueing, long nowTicks) {
        if (nowTicks < nextSubsetUpdateAtTicks) {
            return;
        }
        nextSubsetUpdateAtTicks = nowTicks + SUBSET_INTERVAL_TICKS;
        int largestPool = poolsByBuild.values().stream()
                .mapToInt(BuildEndpoints::size)
                .max()
                .orElse(0);
        boolean hasSizeChanged = subset.adapt(inFlight, areAttemptsQueueing, largestPool);
        for (BuildEndpoints pool : poolsByBuild.values()) {
            if (hasSizeChanged || pool.needsReselection()) {
                pool.reselect(subset);
            }
        }
    }

    /** Marks the endpoints that answer with errors far more often than others of their build. */
    void markErrorOutliers() {
        for (BuildEndpoints pool : poolsByBuild.values()) {
            if (OutlierDetector.markErrorOutliers(pool.endpointHealth())) {
                pool.invalidateEligibility();
            }
        }
    }

    /** Renews the expired roundings of the warm-up budgets and removes attempts that have left the window. */
    void updateWarmUpBudgets(long nowTicks) {
        long windowTicks = settings.limits().overloadWindowTicks();
        for (Endpoint endpoint : endpointsById.values()) {
            WarmUpBudget budget = endpoint.warmUpBudget();
            if (budget.isRoundingExpired(nowTicks)) {
                budget.renewRounding(random, windowTicks, nowTicks);
            }
            budget.removeBefore(nowTicks - windowTicks);
        }
    }

    @Nullable
    Endpoint find(String endpointId) {
        return endpointsById.get(endpointId);
    }

    /** Returns the active endpoints of a build, or null if it has none. */
    @Nullable
    BuildEndpoints pool(int build) {
        return poolsByBuild.get(build);
    }

    /** Returns the active endpoints of a build. */
    List<Endpoint> activeEndpoints(int build) {
        BuildEndpoints pool = poolsByBuild.get(build);
        return pool == null ? List.of() : pool.endpoints();
    }

    /**
     * Returns when the most recently started active endpoint of a build started; 0 if that was long ago or it has none.
     */
    long newestStartTicks(int build) {
        BuildEndpoints pool = poolsByBuild.get(build);
        return pool == null ? 0 : pool.newestStartTicks();
    }

    @Override
    public Collection<Integer> activeBuilds() {
        return poolsByBuild.keySet();
    }

    @Override
    public int newestActiveBuild() {
        return newestBuild;
    }

    /** Returns the total capacity of all active endpoints when warm. */
    double activeCapacity() {
        return activeCapacity;
    }

    @Override
    public double currentCapacity(int build, long nowTicks) {
        BuildEndpoints pool = poolsByBuild.get(build);
        return pool == null ? 0 : pool.currentCapacity(slowStart, nowTicks);
    }
}
