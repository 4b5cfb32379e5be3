package laurelkeel.audit;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import laurelkeel.audit.RecordedTraffic.Life;
import laurelkeel.records.TrafficRecord;

/** Rule 3: nothing new to a machine later than the grace after the front was told that it drains or is gone. */
final class DrainRule extends RuleChecker {

    DrainRule() {
        super(3, "drains kept");
    }

    @Override
    void judge(RecordedTraffic traffic) {
        for (Life life : traffic.lives.values()) {
            Map<String, Long> toldOut = new HashMap<>();
            Map<String, Long> listed = new HashMap<>();
            Iterator<TrafficRecord.ToldList> lists = life.lists.iterator();
            TrafficRecord.ToldList next = lists.hasNext() ? lists.next() : null;
            for (TrafficRecord.Arrived s : life.sent) {
                while (next != null && next.t() <= s.t()) {
                    told(next, toldOut, listed);
                    next = lists.hasNext() ? lists.next() : null;
                }
                Long out = toldOut.get(s.machine());
                if (out != null) {
                    long later = s.t() - out;
                    long grace = traffic.rules.drainGrace();
                    near(
                            later / (double) Math.max(1, grace),
                            s.req() + " reached " + s.machine() + " " + ms(later) + " after front " + life.front
                                    + " was told that it drains or is gone");
                    if (later > grace + EDGE) {
                        breach(
                                s.t(),
                                s.req(),
                                "front " + life.front + " sent to " + s.machine() + " " + ms(later)
                                        + " after it was told that it drains or is gone");
                    }
                } else {
                    near(0, "-");
                }
            }
        }
    }

    private static void told(TrafficRecord.ToldList l, Map<String, Long> out, Map<String, Long> listed) {
        Map<String, Long> named = new HashMap<>();
        for (TrafficRecord.Entry e : l.machines()) {
            named.put(e.machine(), e.run());
            if (e.state() == TrafficRecord.State.LIVE) {
                out.remove(e.machine());
            } else {
                out.putIfAbsent(e.machine(), l.t());
            }
        }
        if (l.kind() != TrafficRecord.ListKind.CHANGES) {
            for (String known : listed.keySet()) {
                if (!named.containsKey(known)) {
                    out.putIfAbsent(known, l.t());
                }
            }
        }
        listed.putAll(named);
    }
}
