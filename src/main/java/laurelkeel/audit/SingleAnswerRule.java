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
        TrafficRecord.Asked a = r.asked;
        for (TrafficRecord.Stray s : r.strays) {
            breach(s.t(), a.req(), "after its answer front " + a.front() + " wrote " + s.what());
        }
        if (!r.answers.isEmpty()) {
            TrafficRecord.Answered first = r.answers.get(0);
            for (TrafficRecord.Answered second : r.answers.subList(1, r.answers.size())) {
                breach(
                        second.t(),
                        a.req(),
                        "a second answer, " + second.is() + ", " + ms(second.t() - first.t()) + " after the first, "
                                + first.is());
            }
            long late = first.t() - a.leaves();
            near(
                    (first.t() - a.t()) / (double) Math.max(1, a.leaves() - a.t()),
                    a.req() + " answered " + ms(-late) + " before its client leaves");
            if (late > SLACK) {
                breach(first.t(), a.req(), "answered " + ms(late) + " after its client's time was up");
            }
        } else if (r.left != null && r.left.early()) {
            near(0, "-");
        } else if (r.broke != null) {
            boolean killed = traffic.endedNear(a.front(), r.broke.t(), true);
            boolean neverTaken = r.arrived.isEmpty() && traffic.endedNear(a.front(), r.broke.t(), false);
            if (!killed && !neverTaken) {
                unanswered++;
                breach(r.broke.t(), a.req(), "front " + a.front() + " closed the connection without an answer");
            }
        } else {
            unanswered++;
            breach(a.leaves(), a.req(), "no answer in its " + ms(a.leaves() - a.t()));
        }
    }

    private void after(Req r) {
        long over = Long.MAX_VALUE;
        if (!r.answers.isEmpty()) {
            over = r.answers.get(0).t() + EDGE;
        } else if (r.left != null) {
            over = r.left.t() + LEAVING;
        }
        for (TrafficRecord.Arrived s : r.arrived) {
            if (s.t() > over) {
                breach(
                        s.t(),
                        r.asked.req(),
                        "try " + s.no() + " reached " + s.machine() + " " + ms(s.t() - over)
                                + " after the req was over");
            }
        }
    }
}
