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
 * Finds explanations for regressions that affect all builds equally, which a comparison between builds cannot detect,
 * from how the last minute developed. Not thread-safe.
 */
final class FleetWideRegressionDetector {
    private static final int MIN_SECONDS = 10;
    /** The maximum number of ended transient causes that are excluded, one after another. */
    private static final int MAX_TRANSIENT_CAUSES = 4;

    private static final double MIN_TRANSIENT_PROBABILITY = 0.5;

    private final FleetHistory history = new FleetHistory();

    /**
     * Adds the reports of one second.
     *
     * @param isReference whether a build is a reference build
     * @param traffic the traffic of the last seconds, including this one
     */
    void addSecond(ReportedSecond second, IntPredicate isReference, RecentTraffic traffic) {
        history.addSecond(second, isReference, traffic);
    }

    /** Ranks the explanations of the last minute, with the given builds as possible causes. */
    ExplanationRanking explain(FleetMeasure measure, List<Integer> builds) {
        List<FleetSecond> seconds = history.seconds();
        Map<Integer, double[]> sharesByBuild = new TreeMap<>();
        builds.forEach(build -> sharesByBuild.put(build, FleetHistory.smoothedShares(seconds, build)));
        boolean[] isExcluded = new boolean[seconds.size()];
        ExplanationRanking unfilteredRanking = explain(measure, builds, seconds, sharesByBuild, isExcluded);
        ExplanationRanking ranking = unfilteredRanking;
        Interval ended = endedTransientCause(ranking);
        for (int excludedCauseCount = 0;
                ended != null && excludedCauseCount < MAX_TRANSIENT_CAUSES;
                excludedCauseCount++) {
            // a transient cause that has ended would hide a regression that persists
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
