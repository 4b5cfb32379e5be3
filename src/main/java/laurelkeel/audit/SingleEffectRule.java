package laurelkeel.audit;

import java.util.List;
import laurelkeel.audit.RecordedTraffic.Req;
import laurelkeel.records.TrafficRecord;

/** Rule 2: what may have run is tried again, or called harmless to ask again, only as its route allows. */
final class SingleEffectRule extends RuleChecker {

    SingleEffectRule() {
        super(2, "no effect twice");
    }

    @Override
    void judge(RecordedTraffic traffic) {
        for (Req r : traffic.reqs.values()) {
            if (r.route.effect() != TrafficRecord.Effect.RETRIABLE) {
                resends(traffic, r);
                shed(r);
            }
        }
    }

    private void resends(RecordedTraffic traffic, Req r) {
        List<TrafficRecord.Arrived> tries = r.arrived;
        for (int i = 1; i < tries.size(); i++) {
            TrafficRecord.Arrived next = tries.get(i);
            TrafficRecord.Arrived first = tries.subList(0, i).stream()
                    .filter(a -> r.mayHaveRun(a, next.t()))
                    .findFirst()
                    .orElse(null);
            if (first == null) {
                near(0, "-");
            } else if (r.route.effect() == TrafficRecord.Effect.NON_RETRIABLE) {
                breach(
                        next.t(),
                        r.asked.req(),
                        "a non-retriable req sent again, to " + next.machine() + ", though try " + first.no() + " at "
                                + first.machine() + " may have run");
            } else {
                deduped(traffic, r, first, next);
            }
        }
        if (tries.size() < 2) {
            near(0, "-");
        }
    }

    private void deduped(RecordedTraffic traffic, Req r, TrafficRecord.Arrived first, TrafficRecord.Arrived next) {
        long later = next.t() - first.t();
        near(
                later / (double) Math.max(1, r.route.window()),
                r.asked.req() + " repeated " + ms(later) + " after a try" + " that may have run, of "
                        + ms(r.route.window()));
        if (later > r.route.window() + EDGE) {
            breach(
                    next.t(),
                    r.asked.req(),
                    "a deduped req sent again " + ms(later) + " after its first try, past " + ms(r.route.window()));
        }
        TrafficRecord.MachineUp a = traffic.runs.get(first.machine() + "#" + first.run()).up;
        TrafficRecord.MachineUp b = traffic.runs.get(next.machine() + "#" + next.run()).up;
        boolean inGroup =
                switch (r.route.group()) {
                    case ALL -> true;
                    case ZONE -> a.zone() == b.zone();
                    case CELL -> a.cell() == b.cell();
                };
        if (!inGroup) {
            breach(
                    next.t(),
                    r.asked.req(),
                    "a deduped req sent to " + next.machine() + ", outside the group of " + first.machine()
                            + ", which may have run it");
        }
    }

    private void shed(Req r) {
        TrafficRecord.Answered answer = r.answers.isEmpty() ? null : r.answers.get(0);
        if (answer == null || answer.is() != TrafficRecord.Final.SHED) {
            return;
        }
        TrafficRecord.Arrived ran = r.arrived.stream()
                .filter(a -> r.mayHaveRun(a, answer.t()))
                .findFirst()
                .orElse(null);
        boolean harmless = ran == null
                || (r.route.effect() == TrafficRecord.Effect.DEDUPED && r.route.group() == TrafficRecord.Group.ALL);
        near(0, "-");
        if (!harmless) {
            breach(
                    answer.t(),
                    r.asked.req(),
                    "shed, which calls asking again harmless, though try " + ran.no() + " at " + ran.machine()
                            + " may have run");
        }
    }
}
