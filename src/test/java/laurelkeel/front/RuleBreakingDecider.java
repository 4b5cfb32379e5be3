package laurelkeel.front;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import laurelkeel.api.Action;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.api.Event.EndpointEntry;

/** A decider without sense, in whose ways each rule can be broken; what is not overridden keeps them. */
class RuleBreakingDecider implements Decider {
    final Map<String, EndpointEntry> machines = new TreeMap<>();
    final Map<String, Event.RequestReceived> held = new HashMap<>();
    final List<Action> out = new ArrayList<>();
    int turn, seen;

    @Override
    public List<Action> decide(long now, List<Event> events) {
        out.clear();
        for (Event e : events) {
            if (e instanceof Event.EndpointListUpdate l) {
                l.entries().forEach(m -> machines.put(m.endpointId(), m));
            } else if (e instanceof Event.RequestReceived r) {
                held.put(r.requestId(), r);
                taken(r);
            } else if (e instanceof Event.AttemptEnded t) {
                Event.RequestReceived r = held.get(t.requestId());
                if (t.requestEnded()) {
                    held.remove(t.requestId());
                } else if (r != null) {
                    failed(r, t);
                }
            } else if (e instanceof Event.ClientDisconnected c) {
                held.remove(c.requestId());
            }
        }
        return List.copyOf(out);
    }

    void taken(Event.RequestReceived r) {
        send(r);
    }

    void failed(Event.RequestReceived r, Event.AttemptEnded t) {
        held.remove(r.requestId());
        out.add(new Action.FailRequest(r.requestId()));
    }

    /** Which machines it would use for a req. */
    boolean uses(EndpointEntry m, Event.RequestReceived r) {
        return m.state() == Event.EndpointState.ACTIVE && m.build() == 1;
    }

    void send(Event.RequestReceived r) {
        List<EndpointEntry> from =
                machines.values().stream().filter(m -> uses(m, r)).toList();
        if (from.isEmpty()) {
            held.remove(r.requestId());
            out.add(new Action.RejectRequest(r.requestId(), 1000));
        } else {
            out.add(new Action.SendAttempt(
                    r.requestId(), from.get(turn++ % from.size()).endpointId(), 0));
        }
    }
}
