package laurelkeel.attribution;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Who had what in the last seconds: by build and machine, and by build and customer. Bounded by what reports name. */
final class RecentCounts {
    private static final int SECONDS = 10;
    private static final double MOST_OF_HITS = 0.6, FEW_OF_TRIES = 0.55, FAR_APART = 4;
    private static final int LEAST_HITS = 3, LEAST_TRIES = 10;

    private record Place(int build, String machine, int customer) {}

    private final ArrayDeque<Map<Place, AttemptCounts>> seconds = new ArrayDeque<>();
    private final Map<Place, AttemptCounts> sums = new HashMap<>();

    void next(ReportAggregator.Second s) {
        Map<Place, AttemptCounts> now = new HashMap<>();
        s.byFront()
                .values()
                .forEach(cells -> cells.forEach(c -> {
                    now.computeIfAbsent(new Place(c.build(), c.machine(), -2), k -> new AttemptCounts())
                            .add(c);
                    if (c.customer() >= 0) {
                        now.computeIfAbsent(new Place(c.build(), null, c.customer()), k -> new AttemptCounts())
                                .add(c);
                    }
                }));
        seconds.addLast(now);
        now.forEach((p, t) -> sums.computeIfAbsent(p, k -> new AttemptCounts()).add(t, 1));
        if (seconds.size() > SECONDS) {
            seconds.pollFirst().forEach((p, t) -> {
                AttemptCounts sum = sums.get(p);
                sum.add(t, -1);
                if (sum.tries <= 0) {
                    sums.remove(p);
                }
            });
        }
    }

    int machines(int build) {
        return (int) sums.keySet().stream()
                .filter(p -> p.build == build && p.machine != null)
                .count();
    }

    /** Machines of a build that tell nothing of it. */
    Set<String> outOfOrder(int build) {
        Set<String> out = new HashSet<>();
        out.add(mostSilent(build));
        out.add(sickMachine(build));
        return out;
    }

    /** The one customer that has most of a build's trouble; -2 for none. */
    int standingOut(int build) {
        Place p = standsOut(build, false);
        return p == null ? -2 : p.customer;
    }

    /** The machine of a build that most often gave no answer; null where all did. */
    String mostSilent(int build) {
        Place most = null;
        for (var e : sums.entrySet()) {
            Place p = e.getKey();
            if (p.build == build
                    && p.machine != null
                    && e.getValue().hits[AttemptCounts.SILENT] > 0
                    && (most == null
                            || e.getValue().hits[AttemptCounts.SILENT] > sums.get(most).hits[AttemptCounts.SILENT])) {
                most = p;
            }
        }
        return most == null ? null : most.machine;
    }

    /** The one machine of a build that has most of its bad answers while the others have few; null for none. */
    String sickMachine(int build) {
        Place p = standsOut(build, true);
        return p == null ? null : p.machine;
    }

    /** The one customer that has most of a build's hits, and as many wherever else it asks; -1 for none. */
    int badCustomer(int build) {
        Place p = standsOut(build, false);
        if (p == null) {
            return -1;
        }
        AttemptCounts there = sums.get(p), beside = new AttemptCounts();
        sums.forEach((q, t) -> {
            if (q.build != build && q.customer == p.customer) {
                beside.add(t, 1);
            }
        });
        boolean alike = beside.tries < LEAST_TRIES || beside.rate() * FAR_APART >= there.rate();
        return alike ? p.customer : -1;
    }

    private Place standsOut(int build, boolean machine) {
        AttemptCounts all = new AttemptCounts();
        Place most = null;
        for (var e : sums.entrySet()) {
            Place p = e.getKey();
            if (p.build == build && (p.machine != null) == machine) {
                all.add(e.getValue(), 1);
                boolean more =
                        most == null || e.getValue().answered() > sums.get(most).answered();
                most = more ? p : most;
            }
        }
        if (most == null) {
            return null;
        }
        AttemptCounts one = sums.get(most);
        int rest = all.tries - one.tries;
        double restRate = rest <= 0 ? 1 : (all.answered() - one.answered()) / (double) rest;
        boolean out = one.answered() >= LEAST_HITS
                && one.answered() >= MOST_OF_HITS * all.answered()
                && one.tries <= FEW_OF_TRIES * all.tries
                && rest >= LEAST_TRIES
                && restRate * FAR_APART <= one.rate();
        return out ? most : null;
    }
}
