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
 * Ranks explanations of one series of levels by Bayesian model comparison. Each explanation is a regressor in a
 * least-squares fit, scored by its prior probability and the Bayesian information criterion.
 *
 * <p>The explanation that there is no regression has no regressor. The regressor of a transient cause is 1 in an
 * interval of seconds and 0 otherwise, that of a build is its share of the traffic, and that of a pair of builds is the
 * product of their shares.
 */
final class ExplanationModel {
    private static final double PRIOR_OF_NONE = 0.80;
    private static final double PRIOR_OF_TRANSIENT = 0.15;
    private static final double PRIOR_OF_SINGLE_BUILDS = 0.04;
    private static final double PRIOR_OF_BUILD_PAIRS = 0.01;

    /**
     * Mean duration of a transient cause. It is short: the longer a regression lasts, the more likely a build causes
     * it.
     */
    private static final double MEAN_TRANSIENT_SECONDS = 6;

    /** Number of consecutive seconds that count as one independent sample, because queues correlate them. */
    private static final double CORRELATED_SECONDS = 2;

    /** Half width of a 95% confidence interval, in standard errors. */
    private static final double CONFIDENCE_ERRORS = 1.96;

    /** An explanation with the natural logarithm of the product of its prior and its likelihood. */
    private record Scored(Explanation explanation, double logScore) {}

    private final int[] secondIndexes;
    private final Map<Integer, double[]> sharesByBuild;
    private final LeastSquaresFit fit;
    private final double independentSeconds;

    /**
     * Prepares the comparison.
     *
     * @param seconds the seconds to explain
     * @param secondIndexes the index of each of these seconds in the history
     * @param sharesByBuild each build's share of the traffic, by index in the history
     * @param measure the measure whose levels are explained
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

    /** Ranks all explanations, with the given builds as possible causes. */
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
                .map(entry -> entry.explanation().withProbability(FastMath.exp(entry.logScore() - logTotal)))
                .toList());
    }

    private double logScore(double logPrior, double residual) {
        return logPrior - independentSeconds / 2 * Math.log(residual);
    }

    /**
     * Returns the score of an explanation with a regressor, including the penalty for its additional parameter. A slope
     * that is not positive explains no regression.
     */
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

    /**
     * Scores a transient cause: the sum over all intervals in which it may have acted. An interval up to the last
     * second may continue.
     */
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

    /**
     * Returns the log probability of an interval's length under a geometric distribution. For an interval that has not
     * ended it is the probability of lasting at least this long.
     */
    private static double logProbabilityOfLength(int seconds, boolean hasEnded) {
        double logProbabilityOfLasting = -(seconds - 1) / MEAN_TRANSIENT_SECONDS;
        return hasEnded
                ? Math.log(1 - Math.exp(-1 / MEAN_TRANSIENT_SECONDS)) + logProbabilityOfLasting
                : logProbabilityOfLasting;
    }
}
