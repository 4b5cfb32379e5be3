package laurelkeel.front;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Settings;
import laurelkeel.attribution.NodeReport;

/**
 * What this front saw of each build, by the second its tries were sent in, for the release line's blame. A second is
 * told once most of its tries have ended. Bounded: so many cells a second, so many seconds. Front's thread only.
 */
final class AttributionReporter {
    private static final long SECOND = 10_000;
    /** Seconds that a try has to end in, to be counted. */
    private static final long WAITS = 2;

    /** As it goes over the wire. */
    record Told(int front, String life, long second, double agoMs, List<NodeReport.Cell> cells) {}

    private record Place(int build, int route, String machine, int customer) {}

    private static final class Sum {
        int tries, fails, silent, wrongs, rated;
        double log, square;
    }

    private final Settings set;
    private final String life;
    private final Consumer<Told> to;
    private final Map<String, EndpointEntry> machines = new HashMap<>();
    private final TreeMap<Long, Map<Place, Sum>> seconds = new TreeMap<>();
    private long toldTo = -1;
    long leftOut;

    AttributionReporter(Settings set, String life, Consumer<Told> to) {
        this.set = set;
        this.life = life;
        this.to = to;
    }

    void list(Event.EndpointListUpdate list) {
        for (EndpointEntry m : list.entries()) {
            // one that is gone is kept while its last tries end, and not for ever
            if (machines.size() > 20_000) {
                machines.clear();
            }
            machines.put(m.endpointId(), m);
        }
    }

    private Sum sum(long at, String machine, int route, int customer) {
        EndpointEntry m = machines.get(machine);
        long second = at / SECOND;
        if (m == null || second <= toldTo) {
            leftOut++;
            return null;
        }
        Map<Place, Sum> cells = seconds.computeIfAbsent(second, k -> new HashMap<>());
        Place p = new Place(m.build(), route, machine, customer);
        Sum s = cells.get(p);
        if (s == null && cells.size() >= NodeReport.MAX_CELLS) {
            leftOut++;
            return null;
        }
        if (s == null) {
            s = new Sum();
            cells.put(p, s);
        }
        return s;
    }

    void ended(long sentAt, long now, String machine, int route, int customer, AttemptOutcome outcome) {
        boolean silent = outcome == AttemptOutcome.TIMED_OUT
                || outcome == AttemptOutcome.CONNECTION_LOST
                || outcome == AttemptOutcome.CONNECT_FAILED;
        if (!silent && outcome != AttemptOutcome.COMPLETED && outcome != AttemptOutcome.FAILED) {
            return;
        }
        Sum s = sum(sentAt, machine, route, customer);
        if (s == null) {
            return;
        }
        s.tries++;
        s.silent += silent ? 1 : 0;
        s.fails += outcome == AttemptOutcome.FAILED ? 1 : 0;
        EndpointEntry m = machines.get(machine);
        boolean warm = m.startedAtTicks() == 0
                || sentAt >= m.startedAtTicks() + set.limits().warmUpTicks();
        if (outcome == AttemptOutcome.COMPLETED && warm) {
            double log = Math.log(Math.max(0.1, (now - sentAt) / 10.0));
            s.rated++;
            s.log += log;
            s.square += log * log;
        }
    }

    void wrong(long sentAt, String machine, int route, int customer) {
        Sum s = sum(sentAt, machine, route, customer);
        if (s != null && s.wrongs < s.tries) {
            s.wrongs++;
        }
    }

    /** Tells all seconds that are old enough; called about once a second. */
    void tell(long now) {
        while (!seconds.isEmpty() && seconds.firstKey() + WAITS < now / SECOND) {
            var first = seconds.pollFirstEntry();
            toldTo = first.getKey();
            List<NodeReport.Cell> cells = new ArrayList<>();
            first.getValue().forEach((p, s) -> {
                if (s.tries > 0) {
                    cells.add(new NodeReport.Cell(
                            p.build,
                            p.route,
                            p.machine,
                            p.customer,
                            s.tries,
                            s.fails,
                            s.silent,
                            s.wrongs,
                            s.rated,
                            s.log,
                            s.square));
                }
            });
            to.accept(new Told(
                    set.nodeIndex(), life, first.getKey(), (now - (first.getKey() + 1) * SECOND) / 10.0, cells));
        }
    }
}
