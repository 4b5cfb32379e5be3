package laurelkeel.attribution;

import java.util.HashMap;
import java.util.Map;

/**
 * Evidence that more of one build's attempts go wrong in one way than those of the builds beside it, as an e-value: a
 * number whose mean is at most 1 while the build is no worse, so that it ever exceeds 1/a with probability at most a
 * (Ville's inequality), however often it is looked at.
 *
 * <p>The e-value is a mixture of likelihood ratios over odds ratios, routes and change points, multiplied over nodes and
 * seconds. Not thread-safe.
 */
final class CountEvidence {
    /** Odds ratios of the alternative hypotheses. */
    private static final double[] ALTERNATIVE_ODDS_RATIOS = {2, 4, 10, 40};

    /** Odds ratio of the null hypothesis: a build that is worse by less passes. */
    private static final double NULL_ODDS_RATIO = 1.25;

    /** From so many nodes on, the evidence does without the node that says most: its figures may be wrong. */
    private static final int MIN_NODES_TO_EXCLUDE_STRONGEST = 4;

    /** Weight of the evidence of all routes together; the single routes share the rest. */
    private static final double ALL_ROUTES_WEIGHT = 0.5;

    private final int routeCount;
    /** For each node a sum for each scope and alternative; the scopes are the routes, and after them all together. */
    private final Map<Integer, ChangePointMixture> mixtureByNode = new HashMap<>();

    private int seconds;
    private int maxReportingNodes;

    CountEvidence(int routeCount) {
        this.routeCount = routeCount;
    }

    /**
     * Begins a second; called before what nodes saw in it.
     *
     * @param reportingNodes how many nodes reported the second
     */
    void beginSecond(int reportingNodes) {
        seconds++;
        maxReportingNodes = Math.max(maxReportingNodes, reportingNodes);
        mixtureByNode.values().forEach(ChangePointMixture::beginSecond);
    }

    /** Adds what one node saw on one route. */
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

    /** The natural logarithm of the e-value. */
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
