package laurelkeel.attribution;

/** Decides whether there is enough evidence that a canary causes no regression large enough to matter. */
final class ClearanceRule {
    private static final int MIN_ATTEMPTS = 150;
    private static final int MIN_SECONDS = 8;
    /** Half width of a 99% confidence interval, in standard errors. */
    private static final double CONFIDENCE_ERRORS = 2.6;

    private static final double MAX_SHARE_DIFFERENCE = 0.02;
    private static final double MAX_LATENCY_RATIO = 1.5;

    private ClearanceRule() {}

    /**
     * Returns whether the upper confidence limits of all effects of a canary are small.
     *
     * @return always false for a canary with a single endpoint, because its latency ratio is unknown
     */
    static boolean isCleared(CanaryComparison canary) {
        if (canary.recentAttempts() < MIN_ATTEMPTS || canary.recentSecondsWithAttempts() < MIN_SECONDS) {
            return false;
        }
        for (BadOutcome kind : BadOutcome.values()) {
            if (canary.shareDifference(kind, CONFIDENCE_ERRORS).high() > MAX_SHARE_DIFFERENCE) {
                return false;
            }
        }
        return canary.latencyRatio(CONFIDENCE_ERRORS).high() < MAX_LATENCY_RATIO;
    }
}
