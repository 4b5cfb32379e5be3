package laurelkeel.decision;

/**
 * Smooth weighted round robin over indexed endpoints that skips endpoints with a higher load than others.
 *
 * <p>The state is stored in arrays by endpoint index and updated on each change. Iterating over the endpoint objects
 * for each request would cost more than all other decisions about the request together.
 */
final class WeightedRoundRobin {
    /** The result if there are no candidates. */
    static final int NONE = -1;

    /** An endpoint is skipped while its load exceeds that of the least loaded candidate by more than this factor. */
    private static final double MAX_LOAD_RATIO = 1.3;

    private final double[] weights;
    /** Requests in flight per unit of weight. */
    private final double[] loads;
    /** Credit of each endpoint: its share of the turns so far minus the turns that it received, in units of weight. */
    private final double[] credits;

    /** @param initialCredits the initial credit of each endpoint, by index */
    WeightedRoundRobin(double[] initialCredits) {
        credits = initialCredits.clone();
        weights = new double[credits.length];
        loads = new double[credits.length];
    }

    /** Sets an endpoint's weight; {@link #setRequests} must be called afterwards. */
    void setWeight(int index, double weight) {
        weights[index] = weight;
    }

    /** Sets the number of requests that an endpoint is assumed to serve currently. */
    void setRequests(int index, double requests) {
        loads[index] = requests / weights[index];
    }

    double credit(int index) {
        return credits[index];
    }

    /**
     * Selects the next endpoint from a list of candidates.
     *
     * @param candidates indices of the endpoints; only the first {@code count} entries are used
     * @return the index of the selected endpoint, or {@link #NONE} if there are no candidates
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
