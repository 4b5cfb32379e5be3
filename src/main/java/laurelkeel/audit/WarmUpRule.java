package laurelkeel.audit;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import laurelkeel.audit.RecordedTraffic.Life;
import laurelkeel.audit.RecordedTraffic.Run;
import laurelkeel.records.TrafficRecord;

/** Rule 4: a cold machine is not sent more than a multiple of what it can do, by those who know that it is cold. */
final class WarmUpRule extends RuleChecker {
    private static final int SLACK = 5;

    WarmUpRule() {
        super(4, "cold machines not pushed over");
    }

    @Override
    void judge(RecordedTraffic traffic) {
        for (Run run : traffic.runs.values()) {
            if (run.up.cold()) {
                judge(traffic, run);
            }
        }
    }

    private void judge(RecordedTraffic traffic, Run run) {
        TrafficRecord.ServerStarted m = run.up;
        ArrayDeque<TrafficRecord.AttemptArrived> window = new ArrayDeque<>();
        boolean broken = false;
        for (TrafficRecord.AttemptArrived a : run.arrived) {
            long age = a.timeTicks() - m.timeTicks();
            if (age > m.warmUpTicks()) {
                return;
            }
            window.addLast(a);
            while (window.peekFirst().timeTicks() < a.timeTicks() - m.overloadWindowTicks()) {
                window.pollFirst();
            }
            double warmth =
                    m.warmUpInitialShare() + (1 - m.warmUpInitialShare()) * Math.max(0, age) / (double) m.warmUpTicks();
            double most =
                    m.overloadMultiple() * warmth * m.capacityPerSecond() * m.overloadWindowTicks() / 10_000 + SLACK;
            near(
                    window.size() / most,
                    window.size() + " reqs in " + ms(m.overloadWindowTicks()) + " at " + m.endpointId() + ", " + ms(age)
                            + " after its start, of " + Math.round(most));
            if (window.size() > most && !broken) {
                broken = true;
                long knew = window.stream().filter(x -> toldOf(traffic, x, m)).count();
                if (knew * 3 >= window.size() * 2) {
                    breach(
                            a.timeTicks(),
                            a.requestId(),
                            m.endpointId() + " was pushed over " + ms(age) + " after its start: "
                                    + window.size() + " reqs in " + ms(m.overloadWindowTicks()) + " of "
                                    + Math.round(most) + ", "
                                    + knew
                                    + " of them from fronts that knew");
                }
            }
        }
    }

    private static boolean toldOf(
            RecordedTraffic traffic, TrafficRecord.AttemptArrived a, TrafficRecord.ServerStarted m) {
        Life life = traffic.lives.get(a.nodeIndex() + "/" + a.nodeIncarnation());
        Set<Long> known = new HashSet<>();
        if (life != null) {
            for (TrafficRecord.EndpointListReceived l : life.lists) {
                if (l.timeTicks() <= a.timeTicks()) {
                    l.endpoints().stream()
                            .filter(e -> e.endpointId().equals(m.endpointId()))
                            .forEach(e -> known.add(e.incarnation()));
                }
            }
        }
        return known.contains(m.incarnation());
    }
}
