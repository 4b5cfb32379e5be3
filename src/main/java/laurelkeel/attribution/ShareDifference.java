package laurelkeel.attribution;

/**
 * The Mantel-Haenszel estimate of the difference between two groups' shares of attempts with a bad outcome. Each
 * stratum is one node, route and second. Not thread-safe.
 */
final class ShareDifference {
    private double weightedDifference;
    private double weightedVariance;
    private double weight;

    /** Adds a stratum in which both groups had attempts. */
    void add(AttemptCounts own, AttemptCounts other, BadOutcome kind) {
        int totalAttempts = own.attempts() + other.attempts();
        double stratumWeight = own.attempts() * (double) other.attempts() / totalAttempts;
        // half a bad and half a good attempt are added; otherwise a stratum without bad attempts would have zero
        // variance
        double pooledShare = (own.count(kind) + other.count(kind) + 0.5) / (totalAttempts + 1.0);
        weight += stratumWeight;
        weightedDifference += stratumWeight * (own.share(kind) - other.share(kind));
        weightedVariance += stratumWeight * pooledShare * (1 - pooledShare);
    }

    void add(ShareDifference other) {
        weightedDifference += other.weightedDifference;
        weightedVariance += other.weightedVariance;
        weight += other.weight;
    }

    /**
     * Estimates the difference of shares.
     *
     * @param standardErrors half width of the confidence interval, in standard errors
     * @return an estimate of 0 with the limits -1 and 1 if there are no strata
     */
    Estimate estimate(double standardErrors) {
        double mean = weight == 0 ? 0 : weightedDifference / weight;
        double margin = weight == 0 ? 1 : standardErrors * Math.sqrt(weightedVariance) / weight;
        return new Estimate(mean, mean - margin, mean + margin);
    }
}
