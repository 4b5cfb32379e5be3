package laurelkeel.decision;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/** The active endpoints of one build, until the next update of the endpoint list. */
final class BuildEndpoints {
    /** If suspects exceed this share of the subset, it is selected again to replace them. */
    private static final double MAX_SUSPECT_SHARE = 0.125;

    private final List<Endpoint> endpoints;
    private final List<EndpointHealth> endpointHealth;
    private final WeightedRoundRobin rotation;
    private final int[] all;
    private int[] subset;
    private boolean areAllEligible;
    private boolean isCapacityStable;
    private double capacity;

    /** @param endpoints at least one, in the order of their ids */
    BuildEndpoints(List<Endpoint> endpoints) {
        this.endpoints = endpoints;
        endpointHealth = endpoints.stream().map(Endpoint::health).toList();
        rotation = new WeightedRoundRobin(
                endpoints.stream().mapToDouble(Endpoint::credit).toArray());
        all = IntStream.range(0, endpoints.size()).toArray();
        subset = all;
        for (int i = 0; i < all.length; i++) {
            endpoints.get(i).joinPool(this, i);
        }
    }

    int size() {
        return all.length;
    }

    Endpoint endpoint(int index) {
        return endpoints.get(index);
    }

    List<Endpoint> endpoints() {
        return endpoints;
    }

    /** Returns the health of each endpoint, by index. */
    List<EndpointHealth> endpointHealth() {
        return endpointHealth;
    }

    WeightedRoundRobin rotation() {
        return rotation;
    }

    /** Returns the indices of all endpoints. */
    int[] all() {
        return all;
    }

    /** Returns the indices of the endpoints in use, as selected by {@link EndpointSubset}. */
    int[] subset() {
        return subset;
    }

    /**
     * Gives the next turn of the round robin to one of some endpoints and returns it; null if there are none.
     *
     * @param candidates indices of the endpoints, in the first {@code count} entries
     */
    @Nullable
    Endpoint next(int[] candidates, int count) {
        int index = rotation.next(candidates, count);
        return index == WeightedRoundRobin.NONE ? null : endpoints.get(index);
    }

    /**
     * Returns whether every endpoint of the subset was warm, healthy and not overloaded when last checked, and none has
     * had an adverse outcome since. Then all of them are candidates for a request that may use any endpoint.
     */
    boolean areAllEligible() {
        return areAllEligible;
    }

    void setAllEligible(boolean areAllEligible) {
        this.areAllEligible = areAllEligible;
    }

    /** Makes the next pick check each endpoint again. */
    void invalidateEligibility() {
        areAllEligible = false;
    }

    /** Selects the endpoints in use again. */
    void reselect(EndpointSubset selection) {
        int size = endpoints.size();
        double[] positions =
                endpoints.stream().mapToDouble(Endpoint::ringPosition).toArray();
        boolean[] isLocal = new boolean[size];
        boolean[] isSuspect = new boolean[size];
        boolean[] isMember = new boolean[size];
        for (int i = 0; i < size; i++) {
            Endpoint endpoint = endpoints.get(i);
            isLocal[i] = endpoint.isLocal();
            isSuspect[i] = endpoint.health().isSuspect();
            isMember[i] = endpoint.isInSubset();
            endpoint.setInSubset(false);
        }
        subset = selection.select(positions, isLocal, isSuspect, isMember);
        for (int i : subset) {
            endpoints.get(i).setInSubset(true);
        }
        invalidateEligibility();
    }

    /** Returns whether the subset has to be selected again to replace suspects. */
    boolean needsReselection() {
        return subset.length < all.length && suspectsInSubset() > MAX_SUSPECT_SHARE * subset.length;
    }

    private long suspectsInSubset() {
        return Arrays.stream(subset)
                .filter(i -> endpoints.get(i).health().isSuspect())
                .count();
    }

    /** Returns the present capacity of its endpoints, which is reduced while they are warming up. */
    double currentCapacity(SlowStart slowStart, long nowTicks) {
        if (!isCapacityStable) {
            capacity = endpoints.stream()
                    .mapToDouble(e -> e.capacity() * slowStart.capacityShare(e.startedAtTicks(), nowTicks))
                    .sum();
            isCapacityStable = endpoints.stream().allMatch(e -> slowStart.isWarm(e.startedAtTicks(), nowTicks));
        }
        return capacity;
    }

    /** Returns the start time of its newest endpoint; 0 if all started long ago. */
    long newestStartTicks() {
        return endpoints.stream().mapToLong(Endpoint::startedAtTicks).max().orElse(0);
    }

    /** Stores each endpoint's round robin credit in the endpoint, for its next pool. */
    void saveCredits() {
        for (int i = 0; i < all.length; i++) {
            endpoints.get(i).setCredit(rotation.credit(i));
        }
    }
}
