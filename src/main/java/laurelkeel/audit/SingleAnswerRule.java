package laurelkeel.audit;

import laurelkeel.audit.RecordedTraffic.Req;
import laurelkeel.records.TrafficRecord;

/** Rule 1: one final answer in the client's time, and nothing sent for the req after it. */
final class SingleAnswerRule extends RuleChecker {
    /** What an answer written in time may need to be read. */
    private static final long SLACK = 200;
    /** A client's leaving takes this long at most to be known at the front and acted on. */
    private static final long LEAVING = 2_000;

    private long unanswered;

    SingleAnswerRule() {
        super(1, "one final answer");
    }

    long unanswered() {
        return unanswered;
    }

    @Override
    void judge(RecordedTraffic traffic) {
        for (Req r : traffic.reqs.values()) {
            answers(traffic, r);
            after(r);
        }
    }

    private void answers(RecordedTraffic traffic, Req r) {
        TrafficRecord.RequestSent a = r.asked;
        for (TrafficRecord.UnexpectedBytes s : r.strays) {
            breach(
                    s.timeTicks(),
                    a.requestId(),
                    "after its answer front " + a.nodeIndex() + " wrote " + s.description());
        }
        if (!r.answers.isEmpty()) {
            TrafficRecord.ResponseReceived first = r.answers.get(0);
            for (TrafficRecord.ResponseReceived second : r.answers.subList(1, r.answers.size())) {
                breach(
                        second.timeTicks(),
                        a.requestId(),
                        "a second answer, " + second.outcome().storedName() + ", "
                                + ms(second.timeTicks() - first.timeTicks()) + " after the first, "
                                + first.outcome().storedName());
            }
            long late = first.timeTicks() - a.deadlineTicks();
            near(
                    (first.timeTicks() - a.timeTicks()) / (double) Math.max(1, a.deadlineTicks() - a.timeTicks()),
                    a.requestId() + " answered " + ms(-late) + " before its client leaves");
            if (late > SLACK) {
                breach(first.timeTicks(), a.requestId(), "answered " + ms(late) + " after its client's time was up");
            }
        } else if (r.left != null && r.left.beforeDeadline()) {
            near(0, "-");
        } else if (r.broke != null) {
            boolean killed = traffic.endedNear(a.nodeIndex(), r.broke.timeTicks(), true);
            boolean neverTaken = r.arrived.isEmpty() && traffic.endedNear(a.nodeIndex(), r.broke.timeTicks(), false);
            if (!killed && !neverTaken) {
                unanswered++;
                breach(
                        r.broke.timeTicks(),
                        a.requestId(),
                        "front " + a.nodeIndex() + " closed the connection without an answer");
            }
        } else {
            unanswered++;
            breach(a.deadlineTicks(), a.requestId(), "no answer in its " + ms(a.deadlineTicks() - a.timeTicks()));
        }
    }

    private void after(Req r) {
        long over = Long.MAX_VALUE;
        if (!r.answers.isEmpty()) {
            over = r.answers.get(0).timeTicks() + EDGE;
        } else if (r.left != null) {
            over = r.left.timeTicks() + LEAVING;
        }
        for (TrafficRecord.AttemptArrived s : r.arrived) {
            if (s.timeTicks() > over) {
                breach(
                        s.timeTicks(),
                        r.asked.requestId(),
                        "try " + s.attemptNumber() + " reached " + s.endpointId() + " " + ms(s.timeTicks() - over)
                                + " after the req was over");
            }
        }
    }
}
