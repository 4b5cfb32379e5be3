package laurelkeel.audit;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import laurelkeel.audit.Traffic.Life;
import laurelkeel.records.Rec;

/** Rule 3: nothing new to a machine later than the grace after the front was told that it drains or is gone. */
final class DrainsKept extends Rule {

    DrainsKept() {
        super(3, "drains kept");
    }

    @Override
    void judge(Traffic traffic) {
        for (Life life : traffic.lives.values()) {
            Map<String, Long> toldOut = new HashMap<>();
            Map<String, Long> listed = new HashMap<>();
            Iterator<Rec.ToldList> lists = life.lists.iterator();
            Rec.ToldList next = lists.hasNext() ? lists.next() : null;
            for (Rec.Arrived s : life.sent) {
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

    private static void told(Rec.ToldList l, Map<String, Long> out, Map<String, Long> listed) {
        Map<String, Long> named = new HashMap<>();
        for (Rec.Entry e : l.machines()) {
            named.put(e.machine(), e.run());
            if (e.state() == Rec.State.LIVE) {
                out.remove(e.machine());
            } else {
                out.putIfAbsent(e.machine(), l.t());
            }
        }
        if (l.kind() != Rec.ListKind.CHANGES) {
            for (String known : listed.keySet()) {
                if (!named.containsKey(known)) {
                    out.putIfAbsent(known, l.t());
                }
            }
        }
        listed.putAll(named);
    }
}
