package laurelkeel.decision;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/** The active endpoints of one build, until the next update of the endpoint list. */
final class BuildEndpoints {
    /** Suspects above this share of the subset are replaced by other endpoints. */
    private static final double MAX_SUSPECT_SHARE = 0.125;

    private final List<Endpoint> endpoints;
    private final List<EndpointHealth> endpointHealth;
    private final WeightedRoundRobin rotation;
    private final int[] all;
    private int[] subset;
    private boolean areAllEligible;
    private boolean isCapacityStable;
    private double capacity;

    /** @param endpoints at least one, by id */
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

    /** Returns the health of its endpoints, by index. */
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

    /** Returns the indices of the endpoints that take turns. */
    int[] subset() {
        return subset;
    }

    /** Gives the next turn to one of some endpoints; null where there are none. */
    @Nullable
    Endpoint next(int[] candidates, int count) {
        int index = rotation.next(candidates, count);
        return index == WeightedRoundRobin.NONE ? null : endpoints.get(index);
    }

    /**
     * Whether every endpoint of the subset was found warm, healthy and not overloaded, with no outcome against one since:
     * then all of them are candidates for a request that may go anywhere.
     */
    boolean areAllEligible() {
        return areAllEligible;
    }

    void setAllEligible(boolean isUnrestricted) {
        this.areAllEligible = isUnrestricted;
    }

    /** Makes the next pick look at the endpoints one by one. */
    void invalidateEligibility() {
        areAllEligible = false;
    }

    /** Selects anew the endpoints that take turns. */
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

    /** Whether suspects are to give their places in the subset to other endpoints. */
    boolean needsReselection() {
        return subset.length < all.length && suspectsInSubset() > MAX_SUSPECT_SHARE * subset.length;
    }

    private long suspectsInSubset() {
        return Arrays.stream(subset)
                .filter(i -> endpoints.get(i).health().isSuspect())
                .count();
    }

    /** Returns the capacity of its endpoints at the moment, as far as they have warmed up. */
    double currentCapacity(SlowStart slowStart, long nowTicks) {
        if (!isCapacityStable) {
            capacity = endpoints.stream()
                    .mapToDouble(e -> e.capacity() * slowStart.capacityShare(e.startedAtTicks(), nowTicks))
                    .sum();
            isCapacityStable = endpoints.stream().allMatch(e -> slowStart.isWarm(e.startedAtTicks(), nowTicks));
        }
        return capacity;
    }

    /** Returns when the newest of its endpoints started; 0 for long ago. */
    long newestStartTicks() {
        return endpoints.stream().mapToLong(Endpoint::startedAtTicks).max().orElse(0);
    }

    /** Keeps each endpoint's claim to turns for its next pool. */
    void saveCredits() {
        for (int i = 0; i < all.length; i++) {
            endpoints.get(i).setCredit(rotation.credit(i));
        }
    }
}
