package laurelkeel.attribution;

/**
 * Compares how well two odds ratios explain a two-by-two table whose margins are given, by Fisher's noncentral
 * hypergeometric distribution.
 *
 * <p>Given the margins nothing else is unknown, so that the products of these likelihood ratios over independent tables
 * are martingales under the null hypothesis: by Ville's inequality they may be looked at after every table.
 */
final class OddsRatioEvidence {
    /** A sum beyond it is scaled down before it could overflow. */
    private static final double RESCALING_LIMIT = 1e200;

    private OddsRatioEvidence() {}

    /**
     * The logarithm of the likelihood ratio of two hypotheses.
     *
     * @param alternative odds ratio of the alternative hypothesis
     * @param reference odds ratio of the null hypothesis
     * @return 0 where the table is no evidence
     */
    static double logLikelihoodRatio(ContingencyTable table, double alternative, double reference) {
        if (table.isDegenerate()) {
            return 0;
        }
        return table.badAttempts() * Math.log(alternative / reference)
                - logNormalizer(table, alternative)
                + logNormalizer(table, reference);
    }

    /** The logarithm of the mean of the odds ratio to the power of the bad attempts, under the central distribution. */
    private static double logNormalizer(ContingencyTable table, double oddsRatio) {
        int otherAttempts = table.totalAttempts() - table.attempts();
        int minBadAttempts = Math.max(0, table.totalBadAttempts() - otherAttempts);
        int maxBadAttempts = Math.min(table.totalBadAttempts(), table.attempts());
        // both relative to the term of the least bad attempts; each term is a ratio to the one before
        ScaledSum weighted = new ScaledSum();
        ScaledSum central = new ScaledSum();
        for (int badAttempts = minBadAttempts; badAttempts < maxBadAttempts; badAttempts++) {
            double ratio = (double) (table.totalBadAttempts() - badAttempts)
                    * (table.attempts() - badAttempts)
                    / ((double) (badAttempts + 1) * (otherAttempts - table.totalBadAttempts() + badAttempts + 1));
            weighted.addNext(ratio * oddsRatio);
            central.addNext(ratio);
        }
        return minBadAttempts * Math.log(oddsRatio)
                + Math.log(weighted.sum)
                + weighted.logScale
                - Math.log(central.sum)
                - central.logScale;
    }

    /** A sum of terms that starts with 1, each term given by its ratio to the one before. */
    private static final class ScaledSum {
        private double term = 1;
        private double sum = 1;
        private double logScale;

        void addNext(double ratio) {
            term *= ratio;
            sum += term;
            if (sum > RESCALING_LIMIT) {
                logScale += Math.log(sum);
                term /= sum;
                sum = 1;
            }
        }
    }
}
