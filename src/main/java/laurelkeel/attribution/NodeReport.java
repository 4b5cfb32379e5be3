package laurelkeel.attribution;

import java.util.List;

/**
 * What one front saw in one second. front, life and second name it: it counts once however often it comes. The second
 * is counted on a clock that all fronts share well enough, as the release line's.
 */
public record NodeReport(int nodeIndex, String incarnation, long second, List<Cell> cells) {
    /** Cells of one report; what goes beyond is left out and counted. */
    public static final int MAX_CELLS = 1024;

    /**
     * One build's tries of one route at one machine for one customer, by when they were sent.
     *
     * @param customer -1 where none is named
     * @param fails answers that say error
     * @param silent tries that ended without an answer
     * @param wrongs answers complained of
     * @param rated tries whose time counts: answered, at a machine that was warm
     * @param logTime the sum of the natural logarithms of their times in milliseconds, and logSquare of the squares
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

        /** Whether its figures can be true of any tries. */
        public boolean isValid() {
            boolean counts = build >= 0
                    && route >= 0
                    && machine != null
                    && customer >= -1
                    && tries > 0
                    && fails >= 0
                    && silent >= 0
                    && wrongs >= 0
                    && rated >= 0
                    && fails + silent <= tries
                    && rated <= tries
                    && wrongs <= tries;
            return counts && Double.isFinite(logTime) && Double.isFinite(logSquare) && logSquare >= 0;
        }

        /** The same with counts that are a part of these. */
        Cell scaled(double by) {
            int t = part(tries, by);
            int f = Math.min(t, part(fails, by));
            return new Cell(
                    build,
                    route,
                    machine,
                    customer,
                    Math.max(1, t),
                    f,
                    Math.min(t - f, part(silent, by)),
                    Math.min(t, part(wrongs, by)),
                    Math.min(t, part(rated, by)),
                    logTime * by,
                    logSquare * by);
        }

        private static int part(int n, double by) {
            return (int) Math.round(n * by);
        }
    }
}
