package laurelkeel.audit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import laurelkeel.records.TrafficRecord;

/** What one life of a front knew of all releases, by when the news reached it. */
final class RolloutTimeline {

    /** What was known of one build; stage and cap mean nothing where it was not on trial. */
    record Known(boolean onTrial, int stage, double cap) {}

    private static final Known NO_TRIAL = new Known(false, 0, 1);

    private final double firstCap;
    private final Map<Integer, TreeMap<Long, TrafficRecord.ToldNews>> byBuild = new HashMap<>();
    /** By when it was known: the latest build released, and the latest heard of. */
    private final TreeMap<Long, Integer> released = new TreeMap<>(), heardOf = new TreeMap<>();

    RolloutTimeline(List<TrafficRecord.ToldNews> news, double firstCap) {
        this.firstCap = firstCap;
        List<TrafficRecord.ToldNews> sorted = new ArrayList<>(news);
        sorted.sort(Comparator.comparingLong(TrafficRecord.ToldNews::t));
        int last = -1, latest = -1;
        for (TrafficRecord.ToldNews n : sorted) {
            byBuild.computeIfAbsent(n.build(), k -> new TreeMap<>()).put(n.t(), n);
            latest = Math.max(latest, n.build());
            heardOf.put(n.t(), latest);
            if (n.phase() == TrafficRecord.Phase.RELEASED) {
                last = Math.max(last, n.build());
                released.put(n.t(), last);
            }
        }
    }

    private static int by(TreeMap<Long, Integer> of, long t) {
        var e = of.floorEntry(t);
        return e == null ? -1 : e.getValue();
    }

    Known at(int build, long t) {
        TreeMap<Long, TrafficRecord.ToldNews> own = byBuild.get(build);
        var last = own == null ? null : own.floorEntry(t);
        if (build < by(released, t)) {
            return NO_TRIAL;
        }
        if (last == null) {
            // ahead of its news a later build is in its first stage
            int latest = by(heardOf, t);
            return latest >= 0 && build > latest ? new Known(true, 0, firstCap) : NO_TRIAL;
        }
        TrafficRecord.ToldNews n = last.getValue();
        return n.phase() == TrafficRecord.Phase.RELEASED ? NO_TRIAL : new Known(true, n.stage(), n.cap());
    }

    /** The highest cap known at any moment from one to another. */
    double mostCap(int build, long from, long to) {
        double most = at(build, from).cap;
        TreeMap<Long, TrafficRecord.ToldNews> own = byBuild.getOrDefault(build, new TreeMap<>());
        for (long t : own.subMap(from, false, to, true).keySet()) {
            most = Math.max(most, at(build, t).cap);
        }
        return most;
    }

    /** When the build's cap last fell before a moment; Long.MIN_VALUE where it never did. */
    long lastFall(int build, long before) {
        long fell = Long.MIN_VALUE;
        double cap = at(build, Long.MIN_VALUE).cap;
        for (long t : byBuild.getOrDefault(build, new TreeMap<>())
                .headMap(before, false)
                .keySet()) {
            double now = at(build, t).cap;
            fell = now < cap ? t : fell;
            cap = now;
        }
        return fell;
    }

    /** On trial or released as last known, also an edge ahead: at a change either is right. */
    boolean standing(int build, long at, long edge) {
        if (build < by(released, at)) {
            return false;
        }
        boolean stands = true;
        for (TrafficRecord.ToldNews n : byBuild.getOrDefault(build, new TreeMap<>())
                .headMap(at + edge, true)
                .values()) {
            stands = n.phase() == TrafficRecord.Phase.TRIAL || n.phase() == TrafficRecord.Phase.RELEASED;
            if (!stands && n.t() > at) {
                return false;
            }
        }
        return stands;
    }
}
