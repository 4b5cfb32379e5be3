package laurelkeel.standin;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import laurelkeel.records.Rec;
import laurelkeel.records.Recorder;

/** One release object of the line: a build, the stage it is in, and the votes on it. */
final class Offer {

    private record Ballot(int stage, String verdict, long until) {}

    final Build build;
    int stage;
    Rec.Phase phase;
    double cap;
    long since, readyAt, heldFor;
    private long heldSince = -1;
    int replacing;
    private final Map<Integer, Ballot> votes = new HashMap<>();

    Offer(Build build) {
        this.build = build;
    }

    boolean onTrial() {
        return phase == Rec.Phase.TRIAL;
    }

    /** Off the fleet, or on all of it. */
    boolean over() {
        return phase == Rec.Phase.WITHDRAWN || phase == Rec.Phase.RELEASED;
    }

    void move(int to, Rec.Phase as, double cap, long now) {
        stage = to;
        phase = as;
        since = now;
        heldFor = 0;
        heldSince = -1;
        this.cap = cap;
        if (as != Rec.Phase.TRIAL) {
            votes.clear();
        }
    }

    /** Keeps count of the time that it was held. */
    void held(boolean held, long now) {
        if (held && heldSince < 0) {
            heldSince = now;
        } else if (!held && heldSince >= 0) {
            heldFor += now - heldSince;
            heldSince = -1;
        }
    }

    void vote(int front, int at, String verdict, long until) {
        votes.put(front, new Ballot(at, verdict, until));
    }

    long count(String verdict, long now) {
        return votes.values().stream()
                .filter(v -> v.until > now && v.verdict.equals(verdict) && (!verdict.equals("on") || v.stage == stage))
                .count();
    }

    Rec.Stage record() {
        return new Rec.Stage(Recorder.now(), build.number(), stage, cap, phase);
    }

    Map<String, Object> news(String kind, String answer, long now) {
        Map<String, Object> n = new LinkedHashMap<>();
        n.put("kind", kind);
        if (answer != null) {
            n.put("answer", answer);
        }
        n.put("build", build.number());
        n.put("stage", stage);
        n.put("cap", cap);
        n.put("phase", phase.name().toLowerCase(Locale.ROOT).replace('_', '-'));
        n.put("ageMs", (now - since) / 10.0);
        return n;
    }
}
