package laurelkeel.decision;

import java.util.Arrays;
import java.util.Comparator;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/**
 * Chooses the endpoints of a build that one front node uses where there are far more than its traffic needs.
 *
 * <p>A connection that carries one request in many seconds costs more than it serves. All nodes see the endpoints on one
 * ring, by a hash of their ids, and each starts at a position of its own, so that the nodes together use all endpoints
 * about equally. Suspected endpoints give their places to others. The subset grows while answers wait at endpoints, if
 * need be to all of them.
 */
final class EndpointSubset {
    /** Number of endpoints of the own zone that are always used, and likewise of other zones. */
    static final int MIN_SIZE = 64;

    private static final int ENDPOINTS_PER_REQUEST_IN_FLIGHT = 8;
    /** Weight of the last second in the mean number of requests in flight. */
    private static final double IN_FLIGHT_SMOOTHING = 0.2;

    private static final double GROWTH_PER_SECOND = 1.5;
    private static final double SHRINKAGE_PER_SECOND = 0.95;
    /** Relative change of the size from which the endpoints are selected anew. */
    private static final double RESELECTION_CHANGE = 0.125;
    /** Scales the distance of endpoints already used, for connections to them are open. */
    private static final double MEMBER_DISTANCE_FACTOR = 0.5;

    /** Separates the ring positions from other hashes of the same ids. */
    private static final long RING_SALT = 0x632BE59BD9B4E019L;

    private final double startPosition;
    private double meanInFlight;
    private double size = MIN_SIZE;
    private double selectedSize = MIN_SIZE;

    /**
     * Creates the subset of a front node.
     *
     * @param nodeIndex the node's number, from 0
     * @param nodeCount how many front nodes there are
     */
    EndpointSubset(int nodeIndex, int nodeCount) {
        int nodes = Math.max(1, nodeCount);
        startPosition = (double) Math.floorMod(nodeIndex, nodes) / nodes;
    }

    /** Returns an endpoint's position on the ring, from 0 to 1. */
    static double ringPosition(String endpointId) {
        return UnitHash.toFraction(UnitHash.mix(UnitHash.checksum(endpointId) + RING_SALT));
    }

    /**
     * Adapts the size to the traffic; called once a second.
     *
     * @param inFlight this node's attempts in flight
     * @param areAnswersWaiting whether attempts wait at endpoints before they are served
     * @param largestPool number of endpoints of the largest build
     * @return whether the endpoints are to be selected anew
     */
    boolean adapt(int inFlight, boolean areAnswersWaiting, int largestPool) {
        meanInFlight += (inFlight - meanInFlight) * IN_FLIGHT_SMOOTHING;
        double needed = Math.max(MIN_SIZE, ENDPOINTS_PER_REQUEST_IN_FLIGHT * meanInFlight);
        double wanted = areAnswersWaiting ? size * GROWTH_PER_SECOND : size * SHRINKAGE_PER_SECOND;
        size = Math.max(needed, Math.min(wanted, Math.max(MIN_SIZE, largestPool)));
        boolean hasChanged = Math.abs(size - selectedSize) > RESELECTION_CHANGE * selectedSize;
        selectedSize = hasChanged ? size : selectedSize;
        return hasChanged;
    }

    /**
     * Selects the endpoints to use.
     *
     * @param positions of all endpoints on the ring
     * @param isLocal whether an endpoint is in the node's zone
     * @param isSuspect whether an endpoint is used only where there are no others
     * @param isMember whether an endpoint is in the subset so far
     * @return indices of the endpoints, ascending
     */
    int[] select(double[] positions, boolean[] isLocal, boolean[] isSuspect, boolean[] isMember) {
        int count = (int) selectedSize;
        if (positions.length <= count) {
            return IntStream.range(0, positions.length).toArray();
        }
        Integer[] byPreference = IntStream.range(0, positions.length).boxed().toArray(Integer[]::new);
        Arrays.sort(
                byPreference,
                Comparator.comparing((Integer i) -> isSuspect[i])
                        .thenComparingDouble(i -> distance(positions[i]) * (isMember[i] ? MEMBER_DISTANCE_FACTOR : 1)));
        IntStream local = first(count, byPreference, i -> isLocal[i]);
        IntStream remote = first(count, byPreference, i -> !isLocal[i]);
        return IntStream.concat(local, remote).sorted().toArray();
    }

    private static IntStream first(int count, Integer[] byPreference, IntPredicate filter) {
        return Arrays.stream(byPreference).mapToInt(i -> i).filter(filter).limit(count);
    }

    private double distance(double position) {
        return position >= startPosition ? position - startPosition : position - startPosition + 1;
    }
}
