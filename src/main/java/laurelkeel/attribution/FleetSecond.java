package laurelkeel.attribution;

import java.util.Map;

/**
 * The totals of the whole fleet for one second.
 *
 * @param attempts number of attempts at all builds
 * @param totalsByRoute totals of the attempts at reference builds, in ascending order of routes
 * @param shareByBuild each build's share of all attempts
 */
record FleetSecond(double attempts, Map<Integer, RouteTotals> totalsByRoute, Map<Integer, Double> shareByBuild) {

    /** Sums over the attempts of one route. Not thread-safe. */
    static final class RouteTotals {
        private double attempts;
        private double badAttempts;
        private double timedAttempts;
        private double logLatencySum;

        void add(NodeReport.Cell cell) {
            attempts += cell.tries();
            badAttempts += cell.fails() + cell.silent() + cell.wrongs();
            timedAttempts += cell.rated();
            logLatencySum += cell.logTime();
        }

        double attempts() {
            return attempts;
        }

        /** Returns the number of failed, unanswered and wrong attempts. */
        double badAttempts() {
            return badAttempts;
        }

        /** Returns the number of attempts with a valid latency: completed, at an endpoint that was not warming up. */
        double timedAttempts() {
            return timedAttempts;
        }

        /** Returns the sum of the natural logarithms of those latencies in milliseconds. */
        double logLatencySum() {
            return logLatencySum;
        }
    }

    /** Returns a build's share of all attempts, from 0 to 1. */
    double shareOf(int build) {
        return shareByBuild.getOrDefault(build, 0.0);
    }
}
