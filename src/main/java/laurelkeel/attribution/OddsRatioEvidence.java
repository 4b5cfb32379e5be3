package laurelkeel.attribution;

/**
 * Compares how well two odds ratios explain a two-by-two contingency table with given margins, by Fisher's noncentral
 * hypergeometric distribution.
 *
 * <p>Given the margins, the distribution has no other unknown parameter. Products of these likelihood ratios over
 * independent tables are therefore martingales under the null hypothesis, and by Ville's inequality they may be
 * evaluated after every table.
 */
final class OddsRatioEvidence {
    /** A sum above this limit is scaled down before it can overflow. */
    private static final double RESCALING_LIMIT = 1e200;

    private OddsRatioEvidence() {}

    /**
     * Returns the natural logarithm of the likelihood ratio of two hypotheses.
     *
     * @param alternative odds ratio of the alternative hypothesis
     * @param reference odds ratio of the null hypothesis
     * @return 0 if the table carries no information
     */
    static double logLikelihoodRatio(ContingencyTable table, double alternative, double reference) {
        if (table.isDegenerate()) {
            return 0;
        }
        return table.badAttempts() * Math.log(alternative / reference)
                - logNormalizer(table, alternative)
                + logNormalizer(table, reference);
    }

    /**
     * Returns the logarithm of the expected value, under the central distribution, of the odds ratio to the power of
     * the number of bad attempts.
     */
    private static double logNormalizer(ContingencyTable table, double oddsRatio) {
        int otherAttempts = table.totalAttempts() - table.attempts();
        int minBadAttempts = Math.max(0, table.totalBadAttempts() - otherAttempts);
        int maxBadAttempts = Math.min(table.totalBadAttempts(), table.attempts());
        // Both sums are relative to the term of minBadAttempts; further terms are given as ratios to the previous term.
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

    /** A sum of terms, of which the first is 1 and each further one is given by its ratio to the previous one. */
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
