package laurelkeel.audit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import laurelkeel.records.RecordTerms;
import laurelkeel.records.TrafficRecord;

/** What one life of a front knew of all releases, by when the news reached it. */
final class RolloutTimeline {

    /** What was known of one build; stage and cap mean nothing where it was not on trial. */
    record Known(boolean onTrial, int stage, double cap) {}

    private static final Known NO_TRIAL = new Known(false, 0, 1);

    private final double firstCap;
    private final Map<Integer, TreeMap<Long, TrafficRecord.RolloutUpdateReceived>> byBuild = new HashMap<>();
    /** By when it was known: the latest build released, and the latest heard of. */
    private final TreeMap<Long, Integer> released = new TreeMap<>(), heardOf = new TreeMap<>();

    RolloutTimeline(List<TrafficRecord.RolloutUpdateReceived> news, double firstCap) {
        this.firstCap = firstCap;
        List<TrafficRecord.RolloutUpdateReceived> sorted = new ArrayList<>(news);
        sorted.sort(Comparator.comparingLong(TrafficRecord.RolloutUpdateReceived::timeTicks));
        int last = -1, latest = -1;
        for (TrafficRecord.RolloutUpdateReceived n : sorted) {
            byBuild.computeIfAbsent(n.build(), k -> new TreeMap<>()).put(n.timeTicks(), n);
            latest = Math.max(latest, n.build());
            heardOf.put(n.timeTicks(), latest);
            if (n.phase() == RecordTerms.RolloutPhase.RELEASED) {
                last = Math.max(last, n.build());
                released.put(n.timeTicks(), last);
            }
        }
    }

    private static int by(TreeMap<Long, Integer> of, long t) {
        var e = of.floorEntry(t);
        return e == null ? -1 : e.getValue();
    }

    Known at(int build, long t) {
        TreeMap<Long, TrafficRecord.RolloutUpdateReceived> own = byBuild.get(build);
        var last = own == null ? null : own.floorEntry(t);
        if (build < by(released, t)) {
            return NO_TRIAL;
        }
        if (last == null) {
            // ahead of its news a later build is in its first stage
            int latest = by(heardOf, t);
            return latest >= 0 && build > latest ? new Known(true, 0, firstCap) : NO_TRIAL;
        }
        TrafficRecord.RolloutUpdateReceived n = last.getValue();
        return n.phase() == RecordTerms.RolloutPhase.RELEASED ? NO_TRIAL : new Known(true, n.stage(), n.exposureCap());
    }

    /** The highest cap known at any moment from one to another. */
    double mostCap(int build, long from, long to) {
        double most = at(build, from).cap;
        TreeMap<Long, TrafficRecord.RolloutUpdateReceived> own = byBuild.getOrDefault(build, new TreeMap<>());
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
        for (TrafficRecord.RolloutUpdateReceived n : byBuild.getOrDefault(build, new TreeMap<>())
                .headMap(at + edge, true)
                .values()) {
            stands = n.phase() == RecordTerms.RolloutPhase.CANARY || n.phase() == RecordTerms.RolloutPhase.RELEASED;
            if (!stands && n.timeTicks() > at) {
                return false;
            }
        }
        return stands;
    }
}
