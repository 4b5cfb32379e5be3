package laurelkeel.attribution;

/**
 * How much better one ratio of odds than another explains a two-by-two table, given its margins (Fisher's noncentral
 * hypergeometric distribution). Given the margins nothing else is unknown, so that products over tables are
 * martingales under the ratio held against, and may be looked at any time (Ville's inequality).
 */
final class OddsRatioEvidence {
    private OddsRatioEvidence() {}

    /**
     * The logarithm of the likelihood ratio of odds ratio over against odds ratio under.
     *
     * @param hits of the tries of one side, and hitsAll of both sides together
     */
    static double logRatio(int hits, int tries, int hitsAll, int triesAll, double over, double under) {
        if (hitsAll == 0 || hitsAll == triesAll || tries == 0 || tries == triesAll) {
            return 0;
        }
        return hits * Math.log(over / under)
                - logMean(tries, hitsAll, triesAll, over)
                + logMean(tries, hitsAll, triesAll, under);
    }

    /** The logarithm of the mean of odds to the power of the hits, were they dealt by chance. */
    private static double logMean(int tries, int hitsAll, int triesAll, double odds) {
        int low = Math.max(0, hitsAll - (triesAll - tries));
        int high = Math.min(hitsAll, tries);
        // terms relative to the one at low; only their ratios are needed, and each is a ratio to its neighbour
        double term = 1, plain = 1, sum = 1, plainSum = 1, scale = 0, plainScale = 0;
        for (int x = low; x < high; x++) {
            double next =
                    (double) (hitsAll - x) * (tries - x) / ((double) (x + 1) * (triesAll - tries - hitsAll + x + 1));
            term *= next * odds;
            plain *= next;
            sum += term;
            plainSum += plain;
            if (sum > 1e200) {
                scale += Math.log(sum);
                term /= sum;
                sum = 1;
            }
            if (plainSum > 1e200) {
                plainScale += Math.log(plainSum);
                plain /= plainSum;
                plainSum = 1;
            }
        }
        return low * Math.log(odds) + Math.log(sum) + scale - Math.log(plainSum) - plainScale;
    }
}
