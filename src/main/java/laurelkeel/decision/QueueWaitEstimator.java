package laurelkeel.decision;

import laurelkeel.api.Ticks;

/**
 * Estimates how long an attempt would wait at an endpoint before it is served.
 *
 * <p>An endpoint's own answers count while they are fresh; the less fresh they are, the more the mean over all endpoints
 * stands for them.
 */
final class QueueWaitEstimator {
    /** After it, an endpoint's last answer says nothing of its present queue. */
    private static final long FRESHNESS_TICKS = 2 * Ticks.PER_SECOND;

    /** The mean over all endpoints reaches back over about so many seconds of answers. */
    private static final double MEAN_SECONDS = 2;

    private static final double MIN_SMOOTHING = 0.02;
    private static final double MAX_SMOOTHING = 0.2;

    private double meanWaitTicks;

    /**
     * Takes note of how long an attempt waited at some endpoint.
     *
     * @param answersPerSecond of all endpoints together
     */
    void recordWait(double waitTicks, double answersPerSecond) {
        double smoothing = 1 / (MEAN_SECONDS * answersPerSecond + 1);
        meanWaitTicks += (waitTicks - meanWaitTicks) * Math.max(MIN_SMOOTHING, Math.min(MAX_SMOOTHING, smoothing));
    }

    /** Returns the mean wait over all endpoints; below 0 where answers come faster than in calm times. */
    double meanWaitTicks() {
        return meanWaitTicks;
    }

    /** Returns the wait to expect at an endpoint at which so many of this node's attempts are in flight. */
    double expectedWaitTicks(EndpointLatency endpoint, int inFlight, long nowTicks) {
        long ageTicks = nowTicks - endpoint.answeredAtTicks();
        double freshness = Math.max(0, 1 - ageTicks / (double) FRESHNESS_TICKS);
        double own = endpoint.expectedWaitTicks(inFlight);
        return freshness * own + (1 - freshness) * Math.max(0, meanWaitTicks);
    }
}
