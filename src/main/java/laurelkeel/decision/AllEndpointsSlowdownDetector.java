package laurelkeel.decision;

import org.jspecify.annotations.Nullable;

/**
 * Detects harm that a build does to all endpoints alike, which no comparison of builds would show: most endpoints have
 * been slow for as long as it has had traffic, and were not before.
 */
final class AllEndpointsSlowdownDetector {
    /** Longer than most spells of slowness that come from elsewhere. */
    private static final int OBSERVED_SECONDS = 10;

    private static final int MIN_RATED_SECONDS = 6;
    private static final double MIN_SLOWDOWN = 1.4;
    private static final double MIN_SLOW_SHARE = 0.85;
    /** Share of the attempts that the build must have had in a second for its slowness to count. */
    private static final double MIN_TRAFFIC_SHARE = 0.05;

    /** Under more requests than before by this factor, slowness proves nothing. */
    private static final double MAX_LOAD_GROWTH = 1.3;

    /** Endpoints faster than usual by more count as this fast: what follows is no slowdown. */
    private static final double MIN_RATIO_BEFORE = 0.8;

    private final double minRatedSeconds;

    /** @param strictness factor on the evidence needed, 1 or more: few votes of many nodes must be surer each */
    AllEndpointsSlowdownDetector(double strictness) {
        minRatedSeconds = MIN_RATED_SECONDS * strictness;
    }

    /** Returns the finding against the build under judgement, or null where there is none. */
    Regression.@Nullable FleetSlowdown detect(OutcomeHistory history, long nowTicks) {
        double ratioBefore = ratioBefore(history);
        int requests = 0;
        int ratedSeconds = 0;
        int slowSeconds = 0;
        for (OutcomeBucket second : history.lastSeconds(OBSERVED_SECONDS, nowTicks)) {
            double ratio = second.fleetLatencyRatio();
            boolean hasTraffic = second.attemptsSentToJudgedBuild() > MIN_TRAFFIC_SHARE * second.attemptsSent();
            ratedSeconds += ratio > 0 ? 1 : 0;
            slowSeconds += ratio > MIN_SLOWDOWN * ratioBefore && hasTraffic ? 1 : 0;
            requests += second.requestsReceived();
        }
        // requests and not attempts: shedding would hide them
        boolean isUsualLoad =
                ratioBefore > 0 && requests < MAX_LOAD_GROWTH * requestsPerSecondBefore(history) * OBSERVED_SECONDS;
        boolean isLasting =
                isUsualLoad && ratedSeconds >= minRatedSeconds && slowSeconds >= MIN_SLOW_SHARE * ratedSeconds;
        return isLasting ? new Regression.FleetSlowdown(slowSeconds, ratedSeconds, ratioBefore) : null;
    }

    private static double requestsPerSecondBefore(OutcomeHistory history) {
        return history.seconds().stream()
                .filter(second -> second.attemptsSentToJudgedBuild() == 0)
                .mapToInt(OutcomeBucket::requestsReceived)
                .average()
                .orElse(0);
    }

    private static double ratioBefore(OutcomeHistory history) {
        return history.seconds().stream()
                .filter(second -> second.attemptsSentToJudgedBuild() == 0)
                .mapToDouble(OutcomeBucket::fleetLatencyRatio)
                .filter(ratio -> ratio > 0)
                .map(ratio -> Math.max(MIN_RATIO_BEFORE, ratio))
                .average()
                .orElse(0);
    }
}
