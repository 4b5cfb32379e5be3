package laurelkeel.attribution;

import java.util.Map;

/**
 * What one second showed of the whole fleet.
 *
 * @param attempts all attempts, at all builds
 * @param totalsByRoute the attempts at reference builds, by ascending route
 * @param shareByBuild each build's share of all attempts
 */
record FleetSecond(double attempts, Map<Integer, RouteTotals> totalsByRoute, Map<Integer, Double> shareByBuild) {

    /** Sums over one route's attempts. Not thread-safe. */
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

        /** How many attempts went wrong. */
        double badAttempts() {
            return badAttempts;
        }

        /** How many attempts have a latency that counts. */
        double timedAttempts() {
            return timedAttempts;
        }

        /** Sum of the natural logarithms of those latencies in milliseconds. */
        double logLatencySum() {
            return logLatencySum;
        }
    }

    /** A build's share of all attempts. */
    double shareOf(int build) {
        return shareByBuild.getOrDefault(build, 0.0);
    }
}
