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
        TrafficRecord.MachineUp m = run.up;
        ArrayDeque<TrafficRecord.Arrived> window = new ArrayDeque<>();
        boolean broken = false;
        for (TrafficRecord.Arrived a : run.arrived) {
            long age = a.t() - m.t();
            if (age > m.coldFor()) {
                return;
            }
            window.addLast(a);
            while (window.peekFirst().t() < a.t() - m.tipAfter()) {
                window.pollFirst();
            }
            double warmth = m.coldFrom() + (1 - m.coldFrom()) * Math.max(0, age) / (double) m.coldFor();
            double most = m.tipMultiple() * warmth * m.capacity() * m.tipAfter() / 10_000 + SLACK;
            near(
                    window.size() / most,
                    window.size() + " reqs in " + ms(m.tipAfter()) + " at " + m.machine() + ", " + ms(age)
                            + " after its start, of " + Math.round(most));
            if (window.size() > most && !broken) {
                broken = true;
                long knew = window.stream().filter(x -> toldOf(traffic, x, m)).count();
                if (knew * 3 >= window.size() * 2) {
                    breach(
                            a.t(),
                            a.req(),
                            m.machine() + " was pushed over " + ms(age) + " after its start: "
                                    + window.size() + " reqs in " + ms(m.tipAfter()) + " of " + Math.round(most) + ", "
                                    + knew
                                    + " of them from fronts that knew");
                }
            }
        }
    }

    private static boolean toldOf(RecordedTraffic traffic, TrafficRecord.Arrived a, TrafficRecord.MachineUp m) {
        Life life = traffic.lives.get(a.front() + "/" + a.life());
        Set<Long> known = new HashSet<>();
        if (life != null) {
            for (TrafficRecord.ToldList l : life.lists) {
                if (l.t() <= a.t()) {
                    l.machines().stream()
                            .filter(e -> e.machine().equals(m.machine()))
                            .forEach(e -> known.add(e.run()));
                }
            }
        }
        return known.contains(m.run());
    }
}
