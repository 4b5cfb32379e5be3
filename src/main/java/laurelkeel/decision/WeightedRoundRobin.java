package laurelkeel.decision;

/**
 * Smooth weighted round robin over numbered endpoints, which passes over those that are busier than others.
 *
 * <p>Its state lies in arrays by the endpoint's index, and is kept as it changes: a walk over the endpoints themselves
 * would cost more than all else that is decided about a request.
 */
final class WeightedRoundRobin {
    /** Returned where there is nothing to choose from. */
    static final int NONE = -1;

    /** An endpoint is passed over while its load is higher than that of the least loaded by more than this factor. */
    private static final double MAX_LOAD_RATIO = 1.3;

    private final double[] weights;
    /** Requests in flight by unit of weight. */
    private final double[] loads;
    /** What each endpoint is owed of the turns so far, in units of weight. */
    private final double[] credits;

    /** @param initialCredits of the endpoints, by index */
    WeightedRoundRobin(double[] initialCredits) {
        credits = initialCredits.clone();
        weights = new double[credits.length];
        loads = new double[credits.length];
    }

    /** Sets an endpoint's share of the turns; {@link #setRequests} has to follow. */
    void setWeight(int index, double weight) {
        weights[index] = weight;
    }

    /** Sets how many requests an endpoint has to be taken to serve at present. */
    void setRequests(int index, double requests) {
        loads[index] = requests / weights[index];
    }

    double credit(int index) {
        return credits[index];
    }

    /**
     * Gives the next turn to one of some endpoints.
     *
     * @param candidates indices of the endpoints; their first {@code count} entries hold
     * @return the index of the endpoint, or {@link #NONE}
     */
    int next(int[] candidates, int count) {
        double minLoad = Double.MAX_VALUE;
        double totalWeight = 0;
        for (int i = 0; i < count; i++) {
            minLoad = Math.min(minLoad, loads[candidates[i]]);
            totalWeight += weights[candidates[i]];
        }
        int best = NONE;
        for (int i = 0; i < count; i++) {
            int index = candidates[i];
            credits[index] += weights[index];
            if (loads[index] <= minLoad * MAX_LOAD_RATIO && (best == NONE || credits[index] > credits[best])) {
                best = index;
            }
        }
        if (best != NONE) {
            credits[best] -= totalWeight;
        }
        return best;
    }
}
