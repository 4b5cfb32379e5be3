package laurelkeel.decision;

import org.jspecify.annotations.Nullable;

/**
 * Detects a build that slows down the endpoints of all builds, which a comparison of builds cannot show: most endpoints
 * have been slow since the build has had traffic, and were not slow before.
 */
final class AllEndpointsSlowdownDetector {
    /** Longer than most slowdowns that have another cause. */
    private static final int OBSERVED_SECONDS = 10;

    private static final int MIN_MEASURED_SECONDS = 6;
    private static final double MIN_SLOWDOWN = 1.4;
    private static final double MIN_SLOW_SHARE = 0.85;
    /** Share of a second's attempts that must have gone to the build for the second to count as slow. */
    private static final double MIN_TRAFFIC_SHARE = 0.05;

    /** If requests have grown by this factor or more, a slowdown is no evidence against the build. */
    private static final double MAX_LOAD_GROWTH = 1.3;

    /**
     * Lower bound for the latency ratio before the build had traffic. Otherwise the end of an unusually fast period would
     * look like a slowdown.
     */
    private static final double MIN_RATIO_BEFORE = 0.8;

    private final double minMeasuredSeconds;

    /**
     * Creates a detector.
     *
     * @param strictness factor on the required number of seconds, at least 1; the fewer of the nodes' votes decide, the
     *     more certain each node has to be
     */
    AllEndpointsSlowdownDetector(double strictness) {
        minMeasuredSeconds = MIN_MEASURED_SECONDS * strictness;
    }

    /** Returns the finding against the evaluated build, or null if there is none. */
    Regression.@Nullable AllEndpointsSlowdown detect(OutcomeHistory history, long nowTicks) {
        double ratioBefore = ratioBefore(history);
        int requests = 0;
        int measuredSeconds = 0;
        int slowSeconds = 0;
        for (OutcomeBucket bucket : history.lastSeconds(OBSERVED_SECONDS, nowTicks)) {
            double ratio = bucket.lowerTertileLatencyRatio();
            boolean hasTraffic = bucket.attemptsSentToEvaluatedBuild() > MIN_TRAFFIC_SHARE * bucket.attemptsSent();
            measuredSeconds += ratio > 0 ? 1 : 0;
            slowSeconds += ratio > MIN_SLOWDOWN * ratioBefore && hasTraffic ? 1 : 0;
            requests += bucket.requestsReceived();
        }
        // not attempts: load shedding would hide an increase in requests
        boolean isLoadComparable =
                ratioBefore > 0 && requests < MAX_LOAD_GROWTH * requestsPerSecondBefore(history) * OBSERVED_SECONDS;
        boolean isLasting = isLoadComparable
                && measuredSeconds >= minMeasuredSeconds
                && slowSeconds >= MIN_SLOW_SHARE * measuredSeconds;
        return isLasting ? new Regression.AllEndpointsSlowdown(slowSeconds, measuredSeconds, ratioBefore) : null;
    }

    private static double requestsPerSecondBefore(OutcomeHistory history) {
        return history.buckets().stream()
                .filter(bucket -> bucket.attemptsSentToEvaluatedBuild() == 0)
                .mapToInt(OutcomeBucket::requestsReceived)
                .average()
                .orElse(0);
    }

    private static double ratioBefore(OutcomeHistory history) {
        return history.buckets().stream()
                .filter(bucket -> bucket.attemptsSentToEvaluatedBuild() == 0)
                .mapToDouble(OutcomeBucket::lowerTertileLatencyRatio)
                .filter(ratio -> ratio > 0)
                .map(ratio -> Math.max(MIN_RATIO_BEFORE, ratio))
                .average()
                .orElse(0);
    }
}
