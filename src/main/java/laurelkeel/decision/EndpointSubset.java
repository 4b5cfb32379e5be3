package laurelkeel.decision;

import java.util.Arrays;
import java.util.Comparator;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/**
 * Selects the endpoints of a build that one front node uses if the build has far more than the node's traffic needs.
 *
 * <p>A connection that carries one request in many seconds costs more than it is worth. All nodes place the endpoints
 * on the same ring, by a hash of their ids, and each node starts at a position of its own, so that the nodes together
 * use all endpoints about equally. Suspect endpoints are replaced by others. The subset grows while attempts queue at
 * endpoints, up to all endpoints if necessary.
 */
final class EndpointSubset {
    /** Minimum number of endpoints selected in the node's own zone, and likewise in the other zones together. */
    static final int MIN_SIZE = 64;

    private static final int ENDPOINTS_PER_REQUEST_IN_FLIGHT = 8;
    /** Weight of the latest sample, taken once per second, in the mean number of requests in flight. */
    private static final double IN_FLIGHT_SMOOTHING = 0.2;

    private static final double GROWTH_PER_SECOND = 1.5;
    private static final double SHRINKAGE_PER_SECOND = 0.95;
    /** Relative change of the size above which the endpoints are selected again. */
    private static final double RESELECTION_CHANGE = 0.125;
    /**
     * Factor on the ring distance of endpoints already in use, which are preferred because their connections are open.
     */
    private static final double MEMBER_DISTANCE_FACTOR = 0.5;

    /** Makes the ring positions independent of other hashes of the same ids. */
    private static final long RING_SALT = 0x632BE59BD9B4E019L;

    private final double startPosition;
    private double meanInFlight;
    private double size = MIN_SIZE;
    private double selectedSize = MIN_SIZE;

    /**
     * Creates the subset of a front node.
     *
     * @param nodeIndex the node's index, from 0
     * @param nodeCount number of front nodes
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
     * Adapts the size of the subset to the traffic; must be called once per second.
     *
     * @param inFlight number of this node's attempts in flight
     * @param areAttemptsQueueing whether attempts wait at endpoints before they are served
     * @param largestPool number of endpoints of the largest build
     * @return whether the endpoints must be selected again
     */
    boolean adapt(int inFlight, boolean areAttemptsQueueing, int largestPool) {
        meanInFlight += (inFlight - meanInFlight) * IN_FLIGHT_SMOOTHING;
        double minSize = Math.max(MIN_SIZE, ENDPOINTS_PER_REQUEST_IN_FLIGHT * meanInFlight);
        double targetSize = areAttemptsQueueing ? size * GROWTH_PER_SECOND : size * SHRINKAGE_PER_SECOND;
        size = Math.max(minSize, Math.min(targetSize, Math.max(MIN_SIZE, largestPool)));
        boolean hasChanged = Math.abs(size - selectedSize) > RESELECTION_CHANGE * selectedSize;
        selectedSize = hasChanged ? size : selectedSize;
        return hasChanged;
    }

    /**
     * Selects the endpoints to use.
     *
     * @param positions ring positions of all endpoints
     * @param isLocal whether each endpoint is in the node's zone
     * @param isSuspect whether each endpoint is used only if there are no others
     * @param isMember whether each endpoint is in the current subset
     * @return indices of the selected endpoints, ascending
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
