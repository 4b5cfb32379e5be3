package laurelkeel.audit;

import java.util.List;
import laurelkeel.audit.Traffic.Req;
import laurelkeel.records.Rec;

/** Rule 2: what may have run is tried again, or called harmless to ask again, only as its route allows. */
final class NoEffectTwice extends Rule {

    NoEffectTwice() {
        super(2, "no effect twice");
    }

    @Override
    void judge(Traffic traffic) {
        for (Req r : traffic.reqs.values()) {
            if (r.route.effect() != Rec.Effect.RETRIABLE) {
                resends(traffic, r);
                shed(r);
            }
        }
    }

    private void resends(Traffic traffic, Req r) {
        List<Rec.Arrived> tries = r.arrived;
        for (int i = 1; i < tries.size(); i++) {
            Rec.Arrived next = tries.get(i);
            Rec.Arrived first = tries.subList(0, i).stream()
                    .filter(a -> r.mayHaveRun(a, next.t()))
                    .findFirst()
                    .orElse(null);
            if (first == null) {
                near(0, "-");
            } else if (r.route.effect() == Rec.Effect.NON_RETRIABLE) {
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

    private void deduped(Traffic traffic, Req r, Rec.Arrived first, Rec.Arrived next) {
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
        Rec.MachineUp a = traffic.runs.get(first.machine() + "#" + first.run()).up;
        Rec.MachineUp b = traffic.runs.get(next.machine() + "#" + next.run()).up;
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
        Rec.Answered answer = r.answers.isEmpty() ? null : r.answers.get(0);
        if (answer == null || answer.is() != Rec.Final.SHED) {
            return;
        }
        Rec.Arrived ran = r.arrived.stream()
                .filter(a -> r.mayHaveRun(a, answer.t()))
                .findFirst()
                .orElse(null);
        boolean harmless = ran == null || (r.route.effect() == Rec.Effect.DEDUPED && r.route.group() == Rec.Group.ALL);
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
