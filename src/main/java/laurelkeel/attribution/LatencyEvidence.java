package laurelkeel.attribution;

import org.apache.commons.math3.distribution.NormalDistribution;

/**
 * Evidence, as an e-value, that a canary's answers take longer than those of the reference builds.
 *
 * <p>The e-value is a one-sided normal mixture over the drift of the per-second log ratios (Robbins' method of
 * mixtures). The spread of the ratios is estimated, so the bound on false alarms is only as good as that estimate. Not
 * thread-safe.
 */
final class LatencyEvidence {
    /** Log ratio of latencies that is tolerated. */
    private static final double TOLERATED_LOG_RATIO = Math.log(1.3);

    /** Limit on the log ratio of a single second, in both directions. */
    private static final double MAX_LOG_RATIO = 2;

    private static final double MIN_SPREAD = 0.12;
    /** Number of consecutive seconds that count as one independent sample, because queues correlate them. */
    private static final double CORRELATED_SECONDS = 3;

    /** Number of compared seconds after which the estimate of the spread is good enough. */
    private static final int WARM_UP_SECONDS = 3;

    private static final double MIN_LEARNING_RATE = 0.05;
    /** Inverse of the variance of the drift's prior, a half-normal distribution. */
    private static final double PRIOR_PRECISION = 0.5;

    private static final double MIN_PROBABILITY = 1e-300;
    private static final NormalDistribution STANDARD_NORMAL = new NormalDistribution(null, 0, 1);

    /** Indexes of the two sums. */
    private static final int EXCESS = 0;

    private static final int VARIANCE = 1;

    private final ChangePointMixture sums = new ChangePointMixture(2);
    private double previousLogRatio;
    private double meanSquaredStep;
    private int comparedSeconds;

    /**
     * Adds a second.
     *
     * @param logRatio natural logarithm of the ratio of latencies; NaN if the second cannot be compared
     */
    void addSecond(double logRatio) {
        sums.beginSecond();
        if (Double.isNaN(logRatio)) {
            return;
        }
        double bounded = Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, logRatio));
        if (comparedSeconds >= WARM_UP_SECONDS) {
            double spread = Math.max(MIN_SPREAD, Math.sqrt(meanSquaredStep / 2));
            sums.add(EXCESS, bounded - TOLERATED_LOG_RATIO);
            sums.add(VARIANCE, CORRELATED_SECONDS * spread * spread);
        }
        // Updated after its use, so that a second does not affect its own weight. Based on the differences between
        // seconds, so that a lasting slowdown does not count as spread.
        if (comparedSeconds > 0) {
            double step = bounded - previousLogRatio;
            meanSquaredStep += (step * step - meanSquaredStep) * Math.max(MIN_LEARNING_RATE, 1.0 / comparedSeconds);
        }
        previousLogRatio = bounded;
        comparedSeconds++;
    }

    /** Returns the natural logarithm of the e-value. */
    double logEValue() {
        if (sums.changePointCount() == 0) {
            return 0;
        }
        double[] terms = new double[sums.changePointCount()];
        for (int changePoint = 0; changePoint < terms.length; changePoint++) {
            double excess = sums.sumSince(changePoint, EXCESS);
            double precision = sums.sumSince(changePoint, VARIANCE) + PRIOR_PRECISION;
            double tail = STANDARD_NORMAL.cumulativeProbability(excess / Math.sqrt(precision));
            terms[changePoint] = sums.logWeight(changePoint)
                    + Math.log(2)
                    + 0.5 * Math.log(PRIOR_PRECISION / precision)
                    + excess * excess / (2 * precision)
                    + Math.log(Math.max(MIN_PROBABILITY, tail));
        }
        return LogProbability.logSumExp(terms);
    }
}
