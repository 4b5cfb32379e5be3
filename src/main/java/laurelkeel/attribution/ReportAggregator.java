package laurelkeel.attribution;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Reports of many fronts, late, lost, doubled and out of order, put together by second. A second is closed once its
 * reports had their time to come; what comes after is counted and left out. No front weighs more than a few times
 * the middle one, whatever it says.
 */
final class ReportAggregator {
    private static final int MOST_AHEAD = 8;
    private static final double MOST_WEIGHT = 3;
    private static final int MOST_FRONTS = 4096;

    /** One closed second: the cells of each front that reported. */
    record Second(long at, Map<Integer, List<NodeReport.Cell>> byFront) {}

    private final long patience;
    private final TreeMap<Long, Map<Integer, List<NodeReport.Cell>>> open = new TreeMap<>();
    private final Set<String> seen = new HashSet<>();
    private final TreeMap<Long, List<String>> seenAt = new TreeMap<>();
    private long closedTo = Long.MIN_VALUE;
    long doubled, late, unsound, left;

    /** @param patience seconds that a report may be late */
    ReportAggregator(long patience) {
        this.patience = patience;
    }

    /** Takes a report; false where it is left out. */
    boolean take(NodeReport r, long now) {
        if (r.second() <= closedTo) {
            late++;
            return false;
        }
        if (r.second() > now + MOST_AHEAD) {
            unsound++;
            return false;
        }
        String name = r.nodeIndex() + "/" + r.incarnation() + "/" + r.second();
        if (!seen.add(name)) {
            doubled++;
            return false;
        }
        seenAt.computeIfAbsent(r.second(), k -> new ArrayList<>()).add(name);
        Map<Integer, List<NodeReport.Cell>> at = open.computeIfAbsent(r.second(), k -> new TreeMap<>());
        if (at.size() >= MOST_FRONTS && !at.containsKey(r.nodeIndex())) {
            left++;
            return false;
        }
        List<NodeReport.Cell> cells = at.computeIfAbsent(r.nodeIndex(), k -> new ArrayList<>());
        for (NodeReport.Cell c : r.cells()) {
            if (cells.size() >= NodeReport.MAX_CELLS) {
                left++;
            } else if (c.isValid()) {
                cells.add(c);
            } else {
                unsound++;
            }
        }
        return true;
    }

    /** All seconds that are closed by now, in order. */
    List<Second> closed(long now) {
        List<Second> out = new ArrayList<>();
        while (!open.isEmpty() && open.firstKey() + patience < now) {
            var first = open.pollFirstEntry();
            closedTo = first.getKey();
            out.add(new Second(first.getKey(), evened(first.getValue())));
        }
        closedTo = Math.max(closedTo, now - patience - 1);
        while (!seenAt.isEmpty() && seenAt.firstKey() <= closedTo) {
            seenAt.pollFirstEntry().getValue().forEach(seen::remove);
        }
        return out;
    }

    private static Map<Integer, List<NodeReport.Cell>> evened(Map<Integer, List<NodeReport.Cell>> by) {
        if (by.size() < 3) {
            return by;
        }
        int[] tries =
                by.values().stream().mapToInt(ReportAggregator::tries).sorted().toArray();
        double most = MOST_WEIGHT * Math.max(1, tries[tries.length / 2]);
        Map<Integer, List<NodeReport.Cell>> out = new TreeMap<>();
        by.forEach((front, cells) -> {
            double over = tries(cells) / most;
            out.put(
                    front,
                    over <= 1
                            ? cells
                            : cells.stream().map(c -> c.scaled(1 / over)).toList());
        });
        return out;
    }

    private static int tries(List<NodeReport.Cell> cells) {
        return cells.stream().mapToInt(NodeReport.Cell::tries).sum();
    }
}
