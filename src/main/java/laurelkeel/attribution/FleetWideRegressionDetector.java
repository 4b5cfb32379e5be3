package laurelkeel.attribution;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import laurelkeel.attribution.Explanation.Interval;
import org.jspecify.annotations.Nullable;

/**
 * Explains regressions of all builds alike, which no comparison side by side can show, by the course of the last minute.
 * Not thread-safe.
 */
final class FleetWideRegressionDetector {
    private static final int MIN_SECONDS = 10;
    /** So many transient causes that are over are left out, one after another. */
    private static final int MAX_TRANSIENT_CAUSES = 4;

    private static final double MIN_TRANSIENT_PROBABILITY = 0.5;

    private final FleetHistory history = new FleetHistory();

    /**
     * Adds a second.
     *
     * @param isReference whether a build is not being rolled out
     * @param traffic of the last seconds, this one included
     */
    void addSecond(ReportedSecond second, IntPredicate isReference, RecentTraffic traffic) {
        history.addSecond(second, isReference, traffic);
    }

    /** Ranks the explanations of the last minute, with these builds as possible causes. */
    ExplanationRanking explain(FleetMeasure measure, List<Integer> builds) {
        List<FleetSecond> seconds = history.seconds();
        Map<Integer, double[]> sharesByBuild = new TreeMap<>();
        builds.forEach(build -> sharesByBuild.put(build, FleetHistory.smoothedShares(seconds, build)));
        boolean[] isExcluded = new boolean[seconds.size()];
        ExplanationRanking unfilteredRanking = explain(measure, builds, seconds, sharesByBuild, isExcluded);
        ExplanationRanking ranking = unfilteredRanking;
        Interval ended = endedTransientCause(ranking);
        for (int excludedCauses = 0; ended != null && excludedCauses < MAX_TRANSIENT_CAUSES; excludedCauses++) {
            // what has come and gone would hide what lasts
            Arrays.fill(isExcluded, ended.from(), ended.to(), true);
            ranking = explain(measure, builds, seconds, sharesByBuild, isExcluded);
            ended = endedTransientCause(ranking);
        }
        return ended == null ? ranking : unfilteredRanking;
    }

    private static @Nullable Interval endedTransientCause(ExplanationRanking ranking) {
        Explanation best = ranking.best();
        boolean isLikely = best.isTransient() && best.probability() >= MIN_TRANSIENT_PROBABILITY;
        return isLikely ? best.endedInterval() : null;
    }

    private static ExplanationRanking explain(
            FleetMeasure measure,
            List<Integer> builds,
            List<FleetSecond> seconds,
            Map<Integer, double[]> sharesByBuild,
            boolean[] isExcluded) {
        int[] indexes =
                IntStream.range(0, seconds.size()).filter(i -> !isExcluded[i]).toArray();
        if (indexes.length < MIN_SECONDS) {
            return new ExplanationRanking(List.of(Explanation.none().withProbability(1)));
        }
        List<FleetSecond> explained =
                Arrays.stream(indexes).mapToObj(seconds::get).toList();
        return new ExplanationModel(explained, indexes, sharesByBuild, measure).rank(builds);
    }
}
