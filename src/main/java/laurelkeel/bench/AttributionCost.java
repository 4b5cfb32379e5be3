package laurelkeel.bench;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import laurelkeel.attribution.NodeReport;
import laurelkeel.attribution.RegressionAttributor;

/**
 * The processor time and the memory that the attribution needs for the reports of many nodes.
 *
 * @param seconds number of seconds for which every node sent one report
 * @param cells number of cells in all reports
 * @param cpuNanos processor time for all seconds
 * @param worstSecondNanos the most processor time that a second needed, after a warm-up
 * @param heapMebibytes heap that the attribution uses at the end
 */
record AttributionCost(
        int nodes, int endpoints, int seconds, long cells, long cpuNanos, long worstSecondNanos, double heapMebibytes) {
    private static final int ROUTES = 4;
    private static final int CUSTOMERS = 3;
    private static final int MAX_REPORT_DELAY_SECONDS = 4;
    private static final int FIRST_CANARY_BUILD = 2;
    private static final int LAST_CANARY_BUILD = 4;
    private static final int CELLS_PER_REPORT = 200;
    private static final int WARM_UP_SECONDS = 20;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MILLISECOND = 1e6;

    /** Measures the cost with generated reports. */
    static AttributionCost measure(int nodes, int endpoints, int seconds) {
        SplittableRandom random = new SplittableRandom(3);
        double heapBefore = Heap.usedMebibytes();
        RegressionAttributor attributor = new RegressionAttributor(ROUTES, MAX_REPORT_DELAY_SECONDS);
        for (int build = FIRST_CANARY_BUILD; build <= LAST_CANARY_BUILD; build++) {
            attributor.rolloutStarted(build, 0);
        }
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long cpuNanos = 0;
        long worstSecondNanos = 0;
        for (int second = 0; second < seconds; second++) {
            List<NodeReport> reports = reports(random, nodes, endpoints, second);
            long startedNanos = threads.getCurrentThreadCpuTime();
            for (NodeReport report : reports) {
                attributor.addReport(report, second);
            }
            attributor.evaluate(second);
            long spentNanos = threads.getCurrentThreadCpuTime() - startedNanos;
            cpuNanos += spentNanos;
            worstSecondNanos = Math.max(worstSecondNanos, second > WARM_UP_SECONDS ? spentNanos : 0);
        }
        double heap = Heap.usedMebibytes() - heapBefore;
        // keeps the attributor reachable until its heap is measured
        attributor.evaluate(seconds);
        long cells = (long) seconds * nodes * CELLS_PER_REPORT;
        return new AttributionCost(nodes, endpoints, seconds, cells, cpuNanos, worstSecondNanos, heap);
    }

    private static List<NodeReport> reports(SplittableRandom random, int nodes, int endpoints, int second) {
        List<NodeReport> reports = new ArrayList<>();
        for (int node = 0; node < nodes; node++) {
            List<NodeReport.Cell> cells = new ArrayList<>();
            for (int i = 0; i < CELLS_PER_REPORT; i++) {
                cells.add(cell(random, random.nextInt(endpoints)));
            }
            reports.add(new NodeReport(node, "x", second, cells));
        }
        return reports;
    }

    /** Returns a cell with one attempt at the endpoint. Each canary build runs on a tenth of the endpoints. */
    private static NodeReport.Cell cell(SplittableRandom random, int endpoint) {
        double logMillis = 3 + 0.4 * random.nextDouble();
        int build = endpoint % 10 < 3 ? FIRST_CANARY_BUILD + endpoint % 10 : 1;
        int route = random.nextInt(ROUTES);
        int customer = random.nextInt(CUSTOMERS);
        int failed = random.nextInt(200) == 0 ? 1 : 0;
        return new NodeReport.Cell(
                build, route, "m" + endpoint, customer, 1, failed, 0, 0, 1, logMillis, logMillis * logMillis);
    }

    void print(PrintStream out) {
        out.printf(
                Locale.ROOT,
                "%nblame, %d fronts, %d machines, %d s, %d cells: %.2f s of CPU, %.0f ms a second, worst %.0f ms; "
                        + "heap %.0f MiB%n",
                nodes,
                endpoints,
                seconds,
                cells,
                cpuNanos / NANOS_PER_SECOND,
                cpuNanos / NANOS_PER_MILLISECOND / seconds,
                worstSecondNanos / NANOS_PER_MILLISECOND,
                heapMebibytes);
    }
}
