package laurelkeel.decision;

import laurelkeel.api.Ticks;

/**
 * Estimates how long an attempt would wait at an endpoint before it is served.
 *
 * <p>The estimate is a weighted mean of the endpoint's own wait and the mean wait over all endpoints. The older the
 * endpoint's last answer, the lower the weight of its own wait.
 */
final class QueueWaitEstimator {
    /** Age from which an endpoint's last answer carries no information about its current queue. */
    private static final long FRESHNESS_TICKS = 2 * Ticks.PER_SECOND;

    /** Approximate time span of the answers in the mean over all endpoints. */
    private static final double MEAN_SECONDS = 2;

    private static final double MIN_SMOOTHING = 0.02;
    private static final double MAX_SMOOTHING = 0.2;

    private double meanWaitTicks;

    /**
     * Records how long an attempt waited at an endpoint.
     *
     * @param answersPerSecond current rate of the answers of all endpoints together
     */
    void recordWait(double waitTicks, double answersPerSecond) {
        double smoothing = 1 / (MEAN_SECONDS * answersPerSecond + 1);
        meanWaitTicks += (waitTicks - meanWaitTicks) * Math.max(MIN_SMOOTHING, Math.min(MAX_SMOOTHING, smoothing));
    }

    /** Returns the mean wait over all endpoints; negative if answers are faster than the unloaded latency. */
    double meanWaitTicks() {
        return meanWaitTicks;
    }

    /**
     * Returns the expected wait at an endpoint in ticks, at least 0.
     *
     * @param inFlight number of this node's attempts in flight at the endpoint
     */
    double expectedWaitTicks(EndpointLatency endpoint, int inFlight, long nowTicks) {
        long ageTicks = nowTicks - endpoint.answeredAtTicks();
        double freshness = Math.max(0, 1 - ageTicks / (double) FRESHNESS_TICKS);
        double endpointWaitTicks = endpoint.expectedWaitTicks(inFlight);
        return freshness * endpointWaitTicks + (1 - freshness) * Math.max(0, meanWaitTicks);
    }
}
