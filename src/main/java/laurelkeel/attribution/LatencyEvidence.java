package laurelkeel.attribution;

import org.apache.commons.math3.distribution.NormalDistribution;

/**
 * Evidence that one build's answers take longer than those of the build beside it in the same second, route by route.
 * A normal mixture over the size of the drift (Robbins), so it too may be looked at any time; the spread is estimated,
 * so that its promise is good only as far as the estimate is, which the table of runs shows.
 */
final class LatencyEvidence {
    /** Slower by less is let pass: logarithm of a ratio of times. */
    static final double LET_PASS = Math.log(1.3);

    private static final double LEAST_SPREAD = 0.12;
    /** Seconds that follow each other are alike: queues last. */
    private static final double ALIKE = 3;

    private static final double RHO = 0.5;
    private static final NormalDistribution NORMAL = new NormalDistribution(null, 0, 1);

    private final ChangePointMixture sums = new ChangePointMixture(2);
    private double last, steps;
    private int seen;

    /** One second more; NaN where it cannot be compared. */
    void next(double logRatio) {
        sums.next();
        if (Double.isNaN(logRatio)) {
            return;
        }
        // one wild second is no build
        double d = Math.max(-2, Math.min(2, logRatio));
        if (seen > 2) {
            double spread = Math.max(LEAST_SPREAD, Math.sqrt(steps / 2));
            sums.add(0, d - LET_PASS);
            sums.add(1, ALIKE * spread * spread);
        }
        // the spread by the steps before this one, so that none vouches for itself, and a build that turns slow is one
        steps += seen == 0 ? 0 : ((d - last) * (d - last) - steps) * Math.max(0.05, 1.0 / seen);
        last = d;
        seen++;
    }

    double logE() {
        double[] terms = new double[sums.count()];
        for (int k = 0; k < terms.length; k++) {
            double s = sums.since(k, 0), v = sums.since(k, 1);
            double part = sums.logPart(k);
            terms[k] = part
                    + Math.log(2)
                    + 0.5 * Math.log(RHO / (v + RHO))
                    + s * s / (2 * (v + RHO))
                    + Math.log(Math.max(1e-300, NORMAL.cumulativeProbability(s / Math.sqrt(v + RHO))));
        }
        return terms.length == 0 ? 0 : LogArithmetic.sum(terms);
    }
}
