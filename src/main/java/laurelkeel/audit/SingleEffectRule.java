package laurelkeel.audit;

import java.util.List;
import laurelkeel.audit.RecordedTraffic.Req;
import laurelkeel.records.RecordTerms;
import laurelkeel.records.TrafficRecord;

/** Rule 2: what may have run is tried again, or called harmless to ask again, only as its route allows. */
final class SingleEffectRule extends RuleChecker {

    SingleEffectRule() {
        super(2, "no effect twice");
    }

    @Override
    void judge(RecordedTraffic traffic) {
        for (Req r : traffic.reqs.values()) {
            if (r.route.idempotency() != RecordTerms.Idempotency.IDEMPOTENT) {
                resends(traffic, r);
                shed(r);
            }
        }
    }

    private void resends(RecordedTraffic traffic, Req r) {
        List<TrafficRecord.AttemptArrived> tries = r.arrived;
        for (int i = 1; i < tries.size(); i++) {
            TrafficRecord.AttemptArrived next = tries.get(i);
            TrafficRecord.AttemptArrived first = tries.subList(0, i).stream()
                    .filter(a -> r.mayHaveRun(a, next.timeTicks()))
                    .findFirst()
                    .orElse(null);
            if (first == null) {
                near(0, "-");
            } else if (r.route.idempotency() == RecordTerms.Idempotency.NOT_IDEMPOTENT) {
                breach(
                        next.timeTicks(),
                        r.asked.requestId(),
                        "a non-retriable req sent again, to " + next.endpointId() + ", though try "
                                + first.attemptNumber() + " at " + first.endpointId() + " may have run");
            } else {
                deduped(traffic, r, first, next);
            }
        }
        if (tries.size() < 2) {
            near(0, "-");
        }
    }

    private void deduped(
            RecordedTraffic traffic, Req r, TrafficRecord.AttemptArrived first, TrafficRecord.AttemptArrived next) {
        long later = next.timeTicks() - first.timeTicks();
        near(
                later / (double) Math.max(1, r.route.deduplicationWindowTicks()),
                r.asked.requestId() + " repeated " + ms(later) + " after a try" + " that may have run, of "
                        + ms(r.route.deduplicationWindowTicks()));
        if (later > r.route.deduplicationWindowTicks() + EDGE) {
            breach(
                    next.timeTicks(),
                    r.asked.requestId(),
                    "a deduped req sent again " + ms(later) + " after its first try, past "
                            + ms(r.route.deduplicationWindowTicks()));
        }
        TrafficRecord.ServerStarted a = traffic.runs.get(first.endpointId() + "#" + first.incarnation()).up;
        TrafficRecord.ServerStarted b = traffic.runs.get(next.endpointId() + "#" + next.incarnation()).up;
        boolean inGroup =
                switch (r.route.deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> a.zone() == b.zone();
                    case CELL -> a.cell() == b.cell();
                };
        if (!inGroup) {
            breach(
                    next.timeTicks(),
                    r.asked.requestId(),
                    "a deduped req sent to " + next.endpointId() + ", outside the group of " + first.endpointId()
                            + ", which may have run it");
        }
    }

    private void shed(Req r) {
        TrafficRecord.ResponseReceived answer = r.answers.isEmpty() ? null : r.answers.get(0);
        if (answer == null || answer.outcome() != RecordTerms.Outcome.REJECTED) {
            return;
        }
        TrafficRecord.AttemptArrived ran = r.arrived.stream()
                .filter(a -> r.mayHaveRun(a, answer.timeTicks()))
                .findFirst()
                .orElse(null);
        boolean harmless = ran == null
                || (r.route.idempotency() == RecordTerms.Idempotency.DEDUPLICATED
                        && r.route.deduplicationScope() == RecordTerms.DeduplicationScope.ALL);
        near(0, "-");
        if (!harmless) {
            breach(
                    answer.timeTicks(),
                    r.asked.requestId(),
                    "shed, which calls asking again harmless, though try " + ran.attemptNumber() + " at "
                            + ran.endpointId() + " may have run");
        }
    }
}
