package laurelkeel.audit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import laurelkeel.audit.RecordedTraffic.Life;
import laurelkeel.audit.RecordedTraffic.Req;
import laurelkeel.records.RecordTerms;
import laurelkeel.records.TrafficRecord;

/** Rule 5: tries at a build on trial stay within the cap told; guarded stages; keys that go one way only. */
final class ExposureRule extends RuleChecker {

    ExposureRule() {
        super(5, "exposure within the cap");
    }

    @Override
    void judge(RecordedTraffic traffic) {
        Map<Integer, List<Req>> takenBy = new HashMap<>();
        for (Req r : traffic.reqs.values()) {
            boolean notTaken = !r.answers.isEmpty() && r.answers.get(0).notAccepted();
            if (!notTaken) {
                takenBy.computeIfAbsent(r.asked.nodeIndex(), k -> new ArrayList<>())
                        .add(r);
            }
        }
        for (Life life : traffic.lives.values()) {
            RolloutTimeline told = new RolloutTimeline(
                    life.news, traffic.rules.stageExposureCaps().get(0));
            caps(
                    traffic,
                    life,
                    told,
                    takenBy.getOrDefault(life.front, List.of()).stream()
                            .filter(r -> r.asked.timeTicks() >= life.from - EDGE)
                            .toList());
            if (traffic.rules.stickyKeys()) {
                keys(traffic, life, told);
            }
        }
    }

    /**
     * When reqs of one scope may have been taken: asked is the earliest moment, seen the latest, when a machine had
     * the req or its client the answer. Both ascend.
     */
    private record Takes(long[] asked, long[] seen) {
        static Takes of(List<Req> reqs) {
            return new Takes(
                    reqs.stream().mapToLong(q -> q.asked.timeTicks()).sorted().toArray(),
                    reqs.stream().mapToLong(Takes::seen).sorted().toArray());
        }

        private static long seen(Req q) {
            long answered = q.answers.isEmpty()
                    ? q.asked.deadlineTicks()
                    : q.answers.get(0).timeTicks();
            return q.arrived.stream()
                    .mapToLong(TrafficRecord.AttemptArrived::timeTicks)
                    .reduce(answered, Math::min);
        }

        /** How many may have been taken between two moments. */
        int between(long from, long to) {
            return below(asked, to + 1) - below(seen, from);
        }

        private static int below(long[] sorted, long than) {
            int low = 0;
            for (int high = sorted.length; low < high; ) {
                int middle = (low + high) >>> 1;
                if (sorted[middle] < than) {
                    low = middle + 1;
                } else {
                    high = middle;
                }
            }
            return low;
        }
    }

    /**
     * The front's own moments are not on the wire, and a stalled host pulls them apart from those seen: a req is
     * taken, and a try sent, between its client's writing and its machine's reading. A breach is what is one
     * wherever in between they were: tries surely sent within a window, against reqs that may have been taken in it.
     */
    private void caps(RecordedTraffic traffic, Life life, RolloutTimeline told, List<Req> taken) {
        TrafficRecord.AuditParameters rules = traffic.rules;
        Map<String, Takes> takes = new HashMap<>();
        Map<String, PriorityQueue<Long>> windows = new HashMap<>();
        List<TrafficRecord.AttemptArrived> sent = new ArrayList<>(life.sent);
        sent.sort(Comparator.comparingLong(TrafficRecord.AttemptArrived::timeTicks));
        for (TrafficRecord.AttemptArrived s : sent) {
            Req r = traffic.reqs.get(s.requestId());
            RolloutTimeline.Known now = told.at(s.build(), s.timeTicks());
            if (r == null || !now.onTrial()) {
                continue;
            }
            String route = rules.exposurePerRoute() ? r.asked.route() : "";
            PriorityQueue<Long> window = windows.computeIfAbsent(s.build() + "/" + route, k -> new PriorityQueue<>());
            // a lower cap binds after the grace, and tries are counted afresh from then
            long graced = s.timeTicks() - rules.drainGraceTicks() - EDGE;
            double cap = told.mostCap(s.build(), graced, s.timeTicks());
            long fell = told.lastFall(s.build(), graced);
            long from = Math.max(
                    fell == Long.MIN_VALUE ? fell : fell + rules.drainGraceTicks(),
                    s.timeTicks() - rules.exposureWindowTicks());
            window.add(r.asked.timeTicks());
            while (!window.isEmpty() && window.peek() < from) {
                window.poll();
            }
            int most = takes.computeIfAbsent(
                            route,
                            k -> Takes.of(taken.stream()
                                    .filter(q -> k.isEmpty() || q.asked.route().equals(k))
                                    .toList()))
                    .between(r.asked.timeTicks() - rules.exposureWindowTicks(), s.timeTicks());
            double allowed = rules.exposureAllowance() + cap * most;
            near(
                    window.size() / Math.max(1, allowed),
                    window.size() + " tries of front " + life.front + " at build " + s.build() + " within "
                            + ms(rules.exposureWindowTicks()) + ", of " + String.format("%.1f", allowed));
            if (cap <= 0 || window.size() > allowed) {
                breach(
                        s.timeTicks(),
                        s.requestId(),
                        "front " + life.front + " had " + window.size() + " tries at build " + s.build()
                                + " within " + ms(rules.exposureWindowTicks()) + "; "
                                + (cap <= 0
                                        ? "the cap is 0"
                                        : String.format("%.1f", allowed) + " are allowed: cap " + cap + " of " + most
                                                + " reqs"));
            }
            int stage = Math.max(
                    now.stage(), told.at(s.build(), s.timeTicks() + EDGE).stage());
            if (stage < rules.guardedStages() && r.route.idempotency() != RecordTerms.Idempotency.IDEMPOTENT) {
                breach(
                        s.timeTicks(),
                        s.requestId(),
                        "a " + r.route.idempotency().storedName() + " req went to build " + s.build()
                                + " in guarded stage " + stage);
            }
        }
    }

    private void keys(RecordedTraffic traffic, Life life, RolloutTimeline told) {
        // by key: the build that answered it, and when its client had the answer
        Map<String, long[]> answered = new HashMap<>();
        List<Object[]> moments = new ArrayList<>();
        for (TrafficRecord.AttemptArrived s : life.sent) {
            moments.add(new Object[] {s.timeTicks(), s, null});
        }
        for (Req r : traffic.reqs.values()) {
            boolean completed = !r.answers.isEmpty() && r.answers.get(0).outcome() == RecordTerms.Outcome.COMPLETED;
            if (completed && r.asked.partitionKey() != null) {
                long had = r.answers.get(0).timeTicks();
                // which of two tries' answers went on is not on the wire: the earlier build's promises less
                r.arrived.stream()
                        .filter(a -> {
                            TrafficRecord.AttemptAnswered p = r.replied.get(a.attemptNumber());
                            return p != null
                                    && p.status() < 500
                                    && p.timeTicks() <= had
                                    && life.name.equals(a.nodeIncarnation())
                                    && life.front == a.nodeIndex();
                        })
                        .min(Comparator.comparingInt(TrafficRecord.AttemptArrived::build))
                        .ifPresent(a -> moments.add(new Object[] {had + EDGE, a, r}));
            }
        }
        moments.sort(java.util.Comparator.comparingLong(m -> (long) m[0]));
        for (Object[] m : moments) {
            TrafficRecord.AttemptArrived a = (TrafficRecord.AttemptArrived) m[1];
            long t = (long) m[0];
            if (m[2] != null) {
                answered.merge(
                        ((Req) m[2]).asked.partitionKey(), new long[] {a.build(), t}, (x, y) -> y[0] > x[0] ? y : x);
                continue;
            }
            Req r = traffic.reqs.get(a.requestId());
            long[] by = r == null || r.asked.partitionKey() == null ? null : answered.get(r.asked.partitionKey());
            if (by == null) {
                continue;
            }
            near(0, "-");
            if (a.build() < by[0] && told.standing((int) by[0], a.timeTicks(), EDGE)) {
                breach(
                        a.timeTicks(),
                        a.requestId(),
                        "key " + r.asked.partitionKey() + ", answered by build " + by[0] + ", went to build "
                                + a.build() + " though " + by[0] + " was not sent back");
            }
        }
    }
}
