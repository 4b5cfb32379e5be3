package laurelkeel.audit;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import laurelkeel.audit.RecordedTraffic.Life;
import laurelkeel.records.RecordTerms;
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
            Iterator<TrafficRecord.EndpointListReceived> lists = life.lists.iterator();
            TrafficRecord.EndpointListReceived next = lists.hasNext() ? lists.next() : null;
            for (TrafficRecord.AttemptArrived s : life.sent) {
                while (next != null && next.timeTicks() <= s.timeTicks()) {
                    told(next, toldOut, listed);
                    next = lists.hasNext() ? lists.next() : null;
                }
                Long out = toldOut.get(s.endpointId());
                if (out != null) {
                    long later = s.timeTicks() - out;
                    long grace = traffic.rules.drainGraceTicks();
                    near(
                            later / (double) Math.max(1, grace),
                            s.requestId() + " reached " + s.endpointId() + " " + ms(later) + " after front "
                                    + life.front + " was told that it drains or is gone");
                    if (later > grace + EDGE) {
                        breach(
                                s.timeTicks(),
                                s.requestId(),
                                "front " + life.front + " sent to " + s.endpointId() + " " + ms(later)
                                        + " after it was told that it drains or is gone");
                    }
                } else {
                    near(0, "-");
                }
            }
        }
    }

    private static void told(TrafficRecord.EndpointListReceived l, Map<String, Long> out, Map<String, Long> listed) {
        Map<String, Long> named = new HashMap<>();
        for (TrafficRecord.EndpointEntry e : l.endpoints()) {
            named.put(e.endpointId(), e.incarnation());
            if (e.state() == RecordTerms.EndpointState.ACTIVE) {
                out.remove(e.endpointId());
            } else {
                out.putIfAbsent(e.endpointId(), l.timeTicks());
            }
        }
        if (l.kind() != RecordTerms.EndpointListKind.DELTA) {
            for (String known : listed.keySet()) {
                if (!named.containsKey(known)) {
                    out.putIfAbsent(known, l.timeTicks());
                }
            }
        }
        listed.putAll(named);
    }
}
