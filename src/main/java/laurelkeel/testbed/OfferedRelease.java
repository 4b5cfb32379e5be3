package laurelkeel.testbed;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import laurelkeel.records.RecordClock;
import laurelkeel.records.RecordTerms;
import laurelkeel.records.TrafficRecord;

/** One release object of the line: a build, the stage it is in, and the votes on it. */
final class OfferedRelease {

    private record Ballot(int stage, String verdict, long until) {}

    final BuildProfile build;
    int stage;
    RecordTerms.RolloutPhase phase;
    double cap;
    long since, readyAt, heldFor;
    private long heldSince = -1;
    int replacing;
    private final Map<Integer, Ballot> votes = new HashMap<>();

    OfferedRelease(BuildProfile build) {
        this.build = build;
    }

    boolean onTrial() {
        return phase == RecordTerms.RolloutPhase.CANARY;
    }

    /** Off the fleet, or on all of it. */
    boolean over() {
        return phase == RecordTerms.RolloutPhase.ROLLED_BACK || phase == RecordTerms.RolloutPhase.RELEASED;
    }

    void move(int to, RecordTerms.RolloutPhase as, double cap, long now) {
        stage = to;
        phase = as;
        since = now;
        heldFor = 0;
        heldSince = -1;
        this.cap = cap;
        if (as != RecordTerms.RolloutPhase.CANARY) {
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

    TrafficRecord.RolloutStageChanged record() {
        return new TrafficRecord.RolloutStageChanged(RecordClock.nowTicks(), build.number(), stage, cap, phase);
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
        n.put("phase", phase.storedName().toLowerCase(Locale.ROOT).replace('_', '-'));
        n.put("ageMs", (now - since) / 10.0);
        return n;
    }
}
