package laurelkeel.attribution;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import laurelkeel.attribution.Explanation.Cause;
import laurelkeel.attribution.Explanation.Interval;
import org.apache.commons.math3.util.FastMath;
import org.jspecify.annotations.Nullable;

/**
 * Ranks explanations of one series of levels by Bayesian model comparison: each is a regressor in a least-squares fit,
 * scored by its prior probability and the Bayesian information criterion.
 *
 * <p>No regression has no regressor; a transient cause is 1 from one second to another; a build's regressor is its share
 * of the traffic, that of two builds together the product of their shares.
 */
final class ExplanationModel {
    private static final double PRIOR_OF_NONE = 0.80;
    private static final double PRIOR_OF_TRANSIENT = 0.15;
    private static final double PRIOR_OF_SINGLE_BUILDS = 0.04;
    private static final double PRIOR_OF_BUILD_PAIRS = 0.01;

    /** Transient causes seldom last: what goes on is ever more likely a build's. */
    private static final double MEAN_TRANSIENT_SECONDS = 6;

    /** So many seconds in a row count as one: queues make them alike. */
    private static final double CORRELATED_SECONDS = 2;

    /** Limits of a 95% confidence interval, in standard errors. */
    private static final double CONFIDENCE_ERRORS = 1.96;

    /** An explanation and the logarithm of its prior times its likelihood. */
    private record Scored(Explanation explanation, double logScore) {}

    private final int[] secondIndexes;
    private final Map<Integer, double[]> sharesByBuild;
    private final LeastSquaresFit fit;
    private final double independentSeconds;

    /**
     * Prepares the comparison.
     *
     * @param seconds the seconds that are explained
     * @param secondIndexes the index of each of them among all seconds
     * @param sharesByBuild each build's share of the traffic, by the index among all seconds
     */
    ExplanationModel(
            List<FleetSecond> seconds,
            int[] secondIndexes,
            Map<Integer, double[]> sharesByBuild,
            FleetMeasure measure) {
        this.secondIndexes = secondIndexes;
        this.sharesByBuild = sharesByBuild;
        fit = new LeastSquaresFit(measure.levels(seconds), relativeLoads(seconds), measure.minSpread());
        independentSeconds = secondIndexes.length / CORRELATED_SECONDS;
    }

    private static double[] relativeLoads(List<FleetSecond> seconds) {
        double meanLoad =
                seconds.stream().mapToDouble(FleetSecond::attempts).average().orElse(1);
        double[] loads = new double[seconds.size()];
        for (int i = 0; i < loads.length; i++) {
            loads[i] = seconds.get(i).attempts() / meanLoad - 1;
        }
        return loads;
    }

    /** Ranks all explanations, with these builds as possible causes. */
    ExplanationRanking rank(List<Integer> builds) {
        List<Scored> scored = new ArrayList<>();
        scored.add(new Scored(Explanation.none(), logScore(Math.log(PRIOR_OF_NONE), fit.residual())));
        scored.add(scoreTransient());
        for (int build : builds) {
            scored.add(scoreBuilds(List.of(build), PRIOR_OF_SINGLE_BUILDS / builds.size()));
        }
        int pairs = builds.size() * (builds.size() - 1) / 2;
        for (int i = 0; i < builds.size(); i++) {
            for (int j = i + 1; j < builds.size(); j++) {
                List<Integer> pair = List.of(builds.get(i), builds.get(j));
                scored.add(scoreBuilds(pair, PRIOR_OF_BUILD_PAIRS / (builds.size() + pairs)));
            }
        }
        return normalize(scored);
    }

    private static ExplanationRanking normalize(List<Scored> scored) {
        double logTotal = LogProbability.logSumExp(
                scored.stream().mapToDouble(Scored::logScore).toArray());
        return new ExplanationRanking(scored.stream()
                .map(one -> one.explanation().withProbability(FastMath.exp(one.logScore() - logTotal)))
                .toList());
    }

    private double logScore(double logPrior, double residual) {
        return logPrior - independentSeconds / 2 * Math.log(residual);
    }

    /** The score with a regressor, which costs a parameter; only a slope that makes things worse explains anything. */
    private double logScore(double logPrior, double slope, double[] regressor) {
        if (slope <= 0) {
            return Double.NEGATIVE_INFINITY;
        }
        return logScore(logPrior, fit.residual(regressor)) - 0.5 * Math.log(independentSeconds);
    }

    private Scored scoreBuilds(List<Integer> builds, double prior) {
        double[] regressor = productOfShares(builds);
        double slope = fit.slope(regressor);
        double peak = 0;
        int affectedSeconds = 0;
        for (double value : regressor) {
            double effect = value * slope;
            peak = Math.max(peak, effect);
            affectedSeconds += effect > ExplanationRanking.MIN_EFFECT ? 1 : 0;
        }
        double margin = CONFIDENCE_ERRORS * fit.slopeError(regressor, CORRELATED_SECONDS) * largest(regressor);
        Explanation explanation = new Explanation(
                Cause.BUILDS, builds, 0, new Estimate(peak, peak - margin, peak + margin), affectedSeconds, null);
        return new Scored(explanation, logScore(Math.log(prior), slope, regressor));
    }

    private double[] productOfShares(List<Integer> builds) {
        double[] product = new double[secondIndexes.length];
        Arrays.fill(product, 1);
        for (int build : builds) {
            double[] shares = Objects.requireNonNull(sharesByBuild.get(build));
            for (int i = 0; i < product.length; i++) {
                product[i] *= shares[secondIndexes[i]];
            }
        }
        return product;
    }

    private static double largest(double[] values) {
        return Arrays.stream(values).reduce(0, Math::max);
    }

    /** Scores all intervals in which a transient cause may have acted; one that still acts may go on. */
    private Scored scoreTransient() {
        int count = secondIndexes.length;
        double[] logScores = new double[count * (count + 1) / 2];
        int scoreCount = 0;
        double bestLogScore = Double.NEGATIVE_INFINITY;
        Explanation best = transientCause(0, 0, null);
        for (int from = 0; from < count; from++) {
            double[] regressor = new double[count];
            for (int to = from + 1; to <= count; to++) {
                regressor[to - 1] = 1;
                double slope = fit.slope(regressor);
                double logPrior = Math.log(PRIOR_OF_TRANSIENT / count) + logProbabilityOfLength(to - from, to < count);
                double logScore = logScore(logPrior, slope, regressor);
                logScores[scoreCount] = logScore;
                scoreCount++;
                if (logScore > bestLogScore) {
                    bestLogScore = logScore;
                    best = transientCause(slope, to - from, to < count ? interval(from, to) : null);
                }
            }
        }
        return new Scored(best, LogProbability.logSumExp(logScores));
    }

    private static Explanation transientCause(double slope, int seconds, @Nullable Interval endedInterval) {
        Estimate effect = new Estimate(slope, slope, slope);
        return new Explanation(Cause.TRANSIENT, List.of(), 0, effect, seconds, endedInterval);
    }

    private Interval interval(int from, int to) {
        return new Interval(secondIndexes[from], secondIndexes[to - 1] + 1);
    }

    /** Lengths are geometrically distributed; of one that has not ended only the seconds so far count. */
    private static double logProbabilityOfLength(int seconds, boolean hasEnded) {
        double logProbabilityOfLasting = -(seconds - 1) / MEAN_TRANSIENT_SECONDS;
        return hasEnded
                ? Math.log(1 - Math.exp(-1 / MEAN_TRANSIENT_SECONDS)) + logProbabilityOfLasting
                : logProbabilityOfLasting;
    }
}
