package laurelkeel.attribution;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntPredicate;
import laurelkeel.attribution.FleetSecond.RouteTotals;

/** The totals of the whole fleet for each second of the last minute. Not thread-safe. */
final class FleetHistory {
    private static final int WINDOW_SECONDS = 60;
    /** Number of seconds on either side that the moving median of the shares covers. */
    private static final int SMOOTHING_RADIUS = 2;

    private final Deque<FleetSecond> seconds = new ArrayDeque<>();

    /**
     * Adds the reports of one second; ignored if they contain no attempts.
     *
     * @param isReference whether a build is a reference build
     * @param traffic the traffic of the last seconds, including this one
     */
    void addSecond(ReportedSecond second, IntPredicate isReference, RecentTraffic traffic) {
        Map<Integer, Set<String>> excludedEndpoints = new TreeMap<>();
        Map<Integer, Integer> excludedTenants = new TreeMap<>();
        Map<Integer, RouteTotals> totalsByRoute = new TreeMap<>();
        Map<Integer, Double> attemptsByBuild = new TreeMap<>();
        second.cellsByNode()
                .values()
                .forEach(cells -> cells.forEach(cell -> {
                    int build = cell.build();
                    attemptsByBuild.merge(build, (double) cell.tries(), Double::sum);
                    if (isReference.test(build)
                            && !excludedEndpoints
                                    .computeIfAbsent(build, traffic::unrepresentativeEndpoints)
                                    .contains(cell.machine())
                            && cell.customer() != excludedTenants.computeIfAbsent(build, traffic::outlierTenant)) {
                        totalsByRoute
                                .computeIfAbsent(cell.route(), unused -> new RouteTotals())
                                .add(cell);
                    }
                }));
        double attempts = attemptsByBuild.values().stream().mapToDouble(v -> v).sum();
        if (attempts > 0) {
            attemptsByBuild.replaceAll((unused, count) -> count / attempts);
            seconds.addLast(new FleetSecond(attempts, totalsByRoute, attemptsByBuild));
            if (seconds.size() > WINDOW_SECONDS) {
                seconds.removeFirst();
            }
        }
    }

    /** Returns the seconds in which reference builds had attempts, oldest first. */
    List<FleetSecond> seconds() {
        return seconds.stream()
                .filter(second -> !second.totalsByRoute().isEmpty())
                .toList();
    }

    /**
     * Returns a build's share of the attempts in each second, smoothed by a moving median, which preserves the steps of
     * its rollout.
     */
    static double[] smoothedShares(List<FleetSecond> seconds, int build) {
        double[] smoothed = new double[seconds.size()];
        double[] neighbours = new double[2 * SMOOTHING_RADIUS + 1];
        for (int i = 0; i < smoothed.length; i++) {
            for (int k = 0; k < neighbours.length; k++) {
                int second = Math.max(0, Math.min(smoothed.length - 1, i + k - SMOOTHING_RADIUS));
                neighbours[k] = seconds.get(second).shareOf(build);
            }
            Arrays.sort(neighbours);
            smoothed[i] = neighbours[SMOOTHING_RADIUS];
        }
        return smoothed;
    }
}
