package laurelkeel.attribution;

import java.util.HashMap;
import java.util.Map;

/**
 * Evidence, as an e-value, that a canary has a larger share of attempts with one kind of bad outcome than the reference
 * builds.
 *
 * <p>The expected value of an e-value is at most 1 while the build is no worse. By Ville's inequality it then ever
 * exceeds 1/a with probability at most a, however often it is evaluated. This e-value is a mixture of likelihood ratios
 * over odds ratios, routes and change points, multiplied over nodes and seconds. Not thread-safe.
 */
final class CountEvidence {
    /** Odds ratios of the alternative hypotheses. */
    private static final double[] ALTERNATIVE_ODDS_RATIOS = {2, 4, 10, 40};

    /** Odds ratio of the null hypothesis: a build with a lower odds ratio is tolerated. */
    private static final double NULL_ODDS_RATIO = 1.25;

    /**
     * With at least this number of nodes, the node with the strongest evidence is excluded: its counts may be wrong.
     */
    private static final int MIN_NODES_TO_EXCLUDE_STRONGEST = 4;

    /** Weight of the evidence from all routes together; the individual routes share the rest equally. */
    private static final double ALL_ROUTES_WEIGHT = 0.5;

    private final int routeCount;
    /** By node, one sum for each scope and alternative. The scopes are the single routes, then all routes together. */
    private final Map<Integer, ChangePointMixture> mixtureByNode = new HashMap<>();

    private int seconds;
    private int maxReportingNodes;

    CountEvidence(int routeCount) {
        this.routeCount = routeCount;
    }

    /**
     * Begins a second; must be called before the tables of that second are added.
     *
     * @param reportingNodes number of nodes that reported the second
     */
    void beginSecond(int reportingNodes) {
        seconds++;
        maxReportingNodes = Math.max(maxReportingNodes, reportingNodes);
        mixtureByNode.values().forEach(ChangePointMixture::beginSecond);
    }

    /** Adds the attempts of one node on one route. */
    void add(int node, int route, ContingencyTable table) {
        if (table.totalBadAttempts() == 0 || table.attempts() == 0 || table.attempts() == table.totalAttempts()) {
            return;
        }
        ChangePointMixture mixture = mixtureByNode.computeIfAbsent(node, unused -> createMixture());
        for (int alternative = 0; alternative < ALTERNATIVE_ODDS_RATIOS.length; alternative++) {
            double logRatio =
                    OddsRatioEvidence.logLikelihoodRatio(table, ALTERNATIVE_ODDS_RATIOS[alternative], NULL_ODDS_RATIO);
            mixture.add(sumIndex(route, alternative), logRatio);
            mixture.add(sumIndex(routeCount, alternative), logRatio);
        }
    }

    private ChangePointMixture createMixture() {
        ChangePointMixture mixture = new ChangePointMixture((routeCount + 1) * ALTERNATIVE_ODDS_RATIOS.length);
        for (int i = 0; i < seconds; i++) {
            mixture.beginSecond();
        }
        return mixture;
    }

    private static int sumIndex(int scope, int alternative) {
        return scope * ALTERNATIVE_ODDS_RATIOS.length + alternative;
    }

    /** Returns the natural logarithm of the e-value. */
    double logEValue() {
        if (mixtureByNode.isEmpty()) {
            return 0;
        }
        // all nodes have the same change points
        ChangePointMixture anyMixture = mixtureByNode.values().iterator().next();
        double[] terms = new double[anyMixture.changePointCount() * (routeCount + 1) * ALTERNATIVE_ODDS_RATIOS.length];
        int termCount = 0;
        for (int changePoint = 0; changePoint < anyMixture.changePointCount(); changePoint++) {
            double changePointWeight = anyMixture.logWeight(changePoint);
            for (int scope = 0; scope <= routeCount; scope++) {
                for (int alternative = 0; alternative < ALTERNATIVE_ODDS_RATIOS.length; alternative++) {
                    terms[termCount] = changePointWeight
                            + logScopeWeight(scope)
                            - Math.log(ALTERNATIVE_ODDS_RATIOS.length)
                            + logRatioOfNodes(changePoint, sumIndex(scope, alternative));
                    termCount++;
                }
            }
        }
        return LogProbability.logSumExp(terms);
    }

    private double logScopeWeight(int scope) {
        return scope == routeCount ? Math.log(ALL_ROUTES_WEIGHT) : Math.log((1 - ALL_ROUTES_WEIGHT) / routeCount);
    }

    private double logRatioOfNodes(int changePoint, int sumIndex) {
        double sum = 0;
        double largest = 0;
        for (ChangePointMixture mixture : mixtureByNode.values()) {
            double logRatio = mixture.sumSince(changePoint, sumIndex);
            sum += logRatio;
            largest = Math.max(largest, logRatio);
        }
        return maxReportingNodes >= MIN_NODES_TO_EXCLUDE_STRONGEST ? sum - largest : sum;
    }
}
