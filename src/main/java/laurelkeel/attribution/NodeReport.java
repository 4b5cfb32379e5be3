package laurelkeel.attribution;

import java.util.List;

/**
 * The outcomes of one node's attempts that were sent in one second. A report is identified by node, incarnation and
 * second, and counts only once, even if it is received several times.
 *
 * @param nodeIndex index of the node, from 0
 * @param incarnation id of the node's process, different after each restart
 * @param second number of the second on the rollout service's clock
 * @param cells the outcomes by build, route, endpoint and tenant
 */
public record NodeReport(int nodeIndex, String incarnation, long second, List<Cell> cells) {
    /** The maximum number of cells for one second that a node reports, and that are counted for a node. */
    public static final int MAX_CELLS = 1024;

    /**
     * The attempts at one endpoint for one route and tenant that were sent in one second. The component names are also
     * the field names on the wire: nodes send cells in this form.
     *
     * @param build the build that the endpoint ran
     * @param route index of the route in the settings
     * @param machine id of the endpoint
     * @param customer index of the tenant; -1 if the requests name none
     * @param tries number of attempts
     * @param fails number of attempts that were answered with an error
     * @param silent number of attempts that ended without an answer
     * @param wrongs number of answers that clients complained about
     * @param rated number of attempts with a valid latency: completed, at an endpoint that was not warming up
     * @param logTime sum of the natural logarithms of those latencies in milliseconds
     * @param logSquare sum of the squares of those logarithms
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

        /**
         * Returns whether the indexes, counts and sums are possible. A cell from the wire may also lack its endpoint.
         */
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

        /**
         * Returns a copy with all counts and sums multiplied by a factor from 0 to 1, and with at least one attempt.
         */
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
