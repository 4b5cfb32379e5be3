package laurelkeel.attribution;

/**
 * Sums for the Mantel-Haenszel estimate of the difference of two builds' shares of attempts that went wrong, over strata
 * of one node, route and second each. Not thread-safe.
 */
final class ShareDifference {
    private double weightedDifference;
    private double weightedVariance;
    private double weight;

    /** Adds a stratum in which both builds had attempts. */
    void add(AttemptCounts own, AttemptCounts other, BadOutcome kind) {
        int totalAttempts = own.attempts() + other.attempts();
        double stratumWeight = own.attempts() * (double) other.attempts() / totalAttempts;
        // half a hit and half a miss more, or a stratum without hits would seem certain
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

    /** The difference of shares, with limits at so many standard errors. */
    Estimate estimate(double standardErrors) {
        double mean = weight == 0 ? 0 : weightedDifference / weight;
        double margin = weight == 0 ? 1 : standardErrors * Math.sqrt(weightedVariance) / weight;
        return new Estimate(mean, mean - margin, mean + margin);
    }
}
