package laurelkeel.attribution;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Collects the reports of many nodes by second, in any order, and closes a second when the maximum delay of its reports
 * has passed.
 *
 * <p>Each report counts once. No node has more than a few times the weight of the median node, regardless of the counts
 * it reports. Not thread-safe.
 */
final class ReportAggregator {
    /** How far a node's clock may be ahead. */
    private static final int MAX_SECONDS_AHEAD = 8;

    private static final int MAX_NODES = 4096;
    /** The maximum ratio of the attempts counted for a node to those of the median node. */
    private static final double MAX_NODE_WEIGHT = 3;

    /** Minimum number of nodes for a meaningful median; weights are not limited with fewer nodes. */
    private static final int MIN_NODES_FOR_MEDIAN = 3;

    private final long maxDelaySeconds;
    private final TreeMap<Long, Map<Integer, List<NodeReport.Cell>>> openSeconds = new TreeMap<>();
    private final Set<String> seenReportIds = new HashSet<>();
    private final TreeMap<Long, List<String>> seenReportIdsBySecond = new TreeMap<>();
    private long lastClosedSecond = Long.MIN_VALUE;

    private long duplicateReports;
    private long lateReports;
    private long invalidCells;
    private long overLimitCells;

    /** @param maxDelaySeconds how late a report may arrive */
    ReportAggregator(long maxDelaySeconds) {
        this.maxDelaySeconds = maxDelaySeconds;
    }

    /**
     * Adds a report.
     *
     * @return whether the report counts; false if it is late, from the future, a duplicate or beyond the limits
     */
    boolean add(NodeReport report, long nowSecond) {
        if (report.second() <= lastClosedSecond) {
            lateReports++;
            return false;
        }
        if (report.second() > nowSecond + MAX_SECONDS_AHEAD) {
            invalidCells++;
            return false;
        }
        String id = report.nodeIndex() + "/" + report.incarnation() + "/" + report.second();
        if (!seenReportIds.add(id)) {
            duplicateReports++;
            return false;
        }
        seenReportIdsBySecond
                .computeIfAbsent(report.second(), unused -> new ArrayList<>())
                .add(id);
        Map<Integer, List<NodeReport.Cell>> cellsByNode =
                openSeconds.computeIfAbsent(report.second(), unused -> new TreeMap<>());
        if (cellsByNode.size() >= MAX_NODES && !cellsByNode.containsKey(report.nodeIndex())) {
            overLimitCells++;
            return false;
        }
        addCells(report.cells(), cellsByNode.computeIfAbsent(report.nodeIndex(), unused -> new ArrayList<>()));
        return true;
    }

    private void addCells(List<NodeReport.Cell> reported, List<NodeReport.Cell> counted) {
        for (NodeReport.Cell cell : reported) {
            if (counted.size() >= NodeReport.MAX_CELLS) {
                overLimitCells++;
            } else if (cell.hasConsistentCounts()) {
                counted.add(cell);
            } else {
                invalidCells++;
            }
        }
    }

    /** Returns the numbers of reports and cells discarded so far. */
    DiscardCounts discarded() {
        return new DiscardCounts(duplicateReports, lateReports, invalidCells, overLimitCells);
    }

    /** Closes the seconds for which the maximum delay has passed, and returns them in ascending order. */
    List<ReportedSecond> closeSeconds(long nowSecond) {
        List<ReportedSecond> closed = new ArrayList<>();
        while (!openSeconds.isEmpty() && openSeconds.firstKey() + maxDelaySeconds < nowSecond) {
            Map.Entry<Long, Map<Integer, List<NodeReport.Cell>>> earliest = openSeconds.pollFirstEntry();
            lastClosedSecond = earliest.getKey();
            closed.add(new ReportedSecond(earliest.getKey(), limitWeights(earliest.getValue())));
        }
        lastClosedSecond = Math.max(lastClosedSecond, nowSecond - maxDelaySeconds - 1);
        removeReportIdsUpTo(lastClosedSecond);
        return closed;
    }

    private void removeReportIdsUpTo(long second) {
        Map<Long, List<String>> expired = seenReportIdsBySecond.headMap(second, true);
        expired.values().forEach(ids -> ids.forEach(seenReportIds::remove));
        expired.clear();
    }

    private static Map<Integer, List<NodeReport.Cell>> limitWeights(Map<Integer, List<NodeReport.Cell>> cellsByNode) {
        if (cellsByNode.size() < MIN_NODES_FOR_MEDIAN) {
            return cellsByNode;
        }
        int[] attempts = cellsByNode.values().stream()
                .mapToInt(ReportAggregator::attempts)
                .sorted()
                .toArray();
        double maxAttempts = MAX_NODE_WEIGHT * Math.max(1, attempts[attempts.length / 2]);
        Map<Integer, List<NodeReport.Cell>> limited = new TreeMap<>();
        cellsByNode.forEach((node, cells) -> limited.put(node, limitAttempts(cells, maxAttempts)));
        return limited;
    }

    private static List<NodeReport.Cell> limitAttempts(List<NodeReport.Cell> cells, double maxAttempts) {
        double limitRatio = attempts(cells) / maxAttempts;
        if (limitRatio <= 1) {
            return cells;
        }
        return cells.stream().map(cell -> cell.scaled(1 / limitRatio)).toList();
    }

    private static int attempts(List<NodeReport.Cell> cells) {
        return cells.stream().mapToInt(NodeReport.Cell::tries).sum();
    }
}
