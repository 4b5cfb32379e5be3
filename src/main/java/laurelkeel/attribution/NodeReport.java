package laurelkeel.attribution;

import java.util.List;

/**
 * What one node's attempts met in one second. Node, incarnation and second identify it: it counts once, however often it
 * comes.
 *
 * @param nodeIndex the node's number, from 0
 * @param incarnation differs from start to start of the node
 * @param second number of the second on the rollout service's clock
 */
public record NodeReport(int nodeIndex, String incarnation, long second, List<Cell> cells) {
    /** The most cells of one second that a node reports or that are counted. */
    public static final int MAX_CELLS = 1024;

    /**
     * The attempts at one endpoint for one route and tenant, by the second in which they were sent. The components have
     * the names of the wire: nodes send cells as they are.
     *
     * @param build the build that the endpoint ran
     * @param route index of the route in the settings
     * @param machine id of the endpoint
     * @param customer index of the tenant; -1 where none is named
     * @param tries how many attempts there were
     * @param fails of these, how many were answered with an error
     * @param silent of these, how many ended without an answer
     * @param wrongs of these, how many answers clients complained of
     * @param rated of these, how many have a latency that counts: they completed, at an endpoint that was warm
     * @param logTime sum of the natural logarithms of these latencies in milliseconds
     * @param logSquare sum of the squares of these logarithms
     */
    public record Cell(
            int build,
            int route,
            String machine,
            int customer,
            int tries,
            int fails,
            int silent,
            int wrongs,
            int rated,
            double logTime,
            double logSquare) {

        /** Whether any attempts can have these figures; a cell of the wire may also lack its endpoint. */
        public boolean hasConsistentCounts() {
            return machine != null && hasValidIndexes() && hasValidCounts() && hasValidLatencies();
        }

        private boolean hasValidIndexes() {
            return build >= 0 && route >= 0 && customer >= -1;
        }

        private boolean hasValidCounts() {
            boolean areCounts = tries > 0 && fails >= 0 && silent >= 0 && wrongs >= 0 && rated >= 0;
            return areCounts && fails + silent <= tries && rated <= tries && wrongs <= tries;
        }

        private boolean hasValidLatencies() {
            return Double.isFinite(logTime) && Double.isFinite(logSquare) && logSquare >= 0;
        }

        /** The same with all counts and sums multiplied by a factor from 0 to 1, at least one attempt remaining. */
        Cell scaled(double factor) {
            int scaledTries = scaled(tries, factor);
            int scaledFails = Math.min(scaledTries, scaled(fails, factor));
            return new Cell(
                    build,
                    route,
                    machine,
                    customer,
                    Math.max(1, scaledTries),
                    scaledFails,
                    Math.min(scaledTries - scaledFails, scaled(silent, factor)),
                    Math.min(scaledTries, scaled(wrongs, factor)),
                    Math.min(scaledTries, scaled(rated, factor)),
                    logTime * factor,
                    logSquare * factor);
        }

        private static int scaled(int count, double factor) {
            return (int) Math.round(count * factor);
        }
    }
}
