package laurelkeel.audit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import laurelkeel.records.Rec;

/** What one life of a front knew of the rollout, by when the news reached it. */
final class Timeline {

    /** What was known of one build; stage and cap mean nothing where it was not on trial. */
    record Known(boolean onTrial, int stage, double cap) { }

    private final double firstCap;
    private final TreeMap<Long, Rec.ToldNews> stands = new TreeMap<>();

    Timeline(List<Rec.ToldNews> news, double firstCap) {
        this.firstCap = firstCap;
        Rec.ToldNews last = null;
        List<Rec.ToldNews> sorted = new ArrayList<>(news);
        sorted.sort(Comparator.comparingLong(Rec.ToldNews::t));
        for (Rec.ToldNews n : sorted) {
            // news of an earlier build than the last tells nothing more
            if (last == null || n.build() >= last.build()) {
                last = n;
                stands.put(n.t(), n);
            }
        }
    }

    private Known of(int build, Rec.ToldNews last) {
        if (last == null || build < last.build()) {
            return new Known(false, 0, 1);
        }
        if (build > last.build()) {
            return new Known(true, 0, firstCap);
        }
        return last.phase() == Rec.Phase.RELEASED ? new Known(false, 0, 1) : new Known(true, last.stage(), last.cap());
    }

    Known at(int build, long t) {
        var last = stands.floorEntry(t);
        return of(build, last == null ? null : last.getValue());
    }

    /** The highest cap known at any moment from one to another. */
    double mostCap(int build, long from, long to) {
        double most = at(build, from).cap;
        for (Rec.ToldNews n : stands.subMap(from, false, to, true).values()) {
            most = Math.max(most, of(build, n).cap);
        }
        return most;
    }

    /** When the build's cap last fell before a moment; Long.MIN_VALUE where it never did. */
    long lastFall(int build, long before) {
        long fell = Long.MIN_VALUE;
        double cap = at(build, Long.MIN_VALUE).cap;
        for (Rec.ToldNews n : stands.headMap(before, false).values()) {
            double now = of(build, n).cap;
            fell = now < cap ? n.t() : fell;
            cap = now;
        }
        return fell;
    }

    /** On trial or released as last known, also an edge ahead: at a change either is right. */
    boolean standing(int build, long at, long edge) {
        boolean stands = true;
        for (Rec.ToldNews n : this.stands.headMap(at + edge, true).values()) {
            if (n.build() == build) {
                stands = n.phase() == Rec.Phase.TRIAL || n.phase() == Rec.Phase.RELEASED;
            } else if (n.build() > build && n.t() <= at) {
                return false;
            }
        }
        return stands;
    }
}
