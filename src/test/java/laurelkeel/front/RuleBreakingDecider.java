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

/** A simple decider that keeps the rules; each can be broken by overriding a method. */
class RuleBreakingDecider implements Decider {
    final Map<String, EndpointEntry> endpoints = new TreeMap<>();
    final Map<String, Event.RequestReceived> activeRequests = new HashMap<>();
    final List<Action> actions = new ArrayList<>();
    int sentAttempts, seenRequests;

    @Override
    public List<Action> decide(long now, List<Event> events) {
        actions.clear();
        for (Event e : events) {
            if (e instanceof Event.EndpointListUpdate l) {
                l.entries().forEach(m -> endpoints.put(m.endpointId(), m));
            } else if (e instanceof Event.RequestReceived r) {
                activeRequests.put(r.requestId(), r);
                onRequest(r);
            } else if (e instanceof Event.AttemptEnded t) {
                Event.RequestReceived r = activeRequests.get(t.requestId());
                if (t.requestEnded()) {
                    activeRequests.remove(t.requestId());
                } else if (r != null) {
                    onAttemptFailed(r, t);
                }
            } else if (e instanceof Event.ClientDisconnected c) {
                activeRequests.remove(c.requestId());
            }
        }
        return List.copyOf(actions);
    }

    void onRequest(Event.RequestReceived r) {
        send(r);
    }

    void onAttemptFailed(Event.RequestReceived r, Event.AttemptEnded t) {
        activeRequests.remove(r.requestId());
        actions.add(new Action.FailRequest(r.requestId()));
    }

    /** Whether it may send a request to an endpoint. */
    boolean mayUse(EndpointEntry m, Event.RequestReceived r) {
        return m.state() == Event.EndpointState.ACTIVE && m.build() == 1;
    }

    void send(Event.RequestReceived r) {
        List<EndpointEntry> from =
                endpoints.values().stream().filter(m -> mayUse(m, r)).toList();
        if (from.isEmpty()) {
            activeRequests.remove(r.requestId());
            actions.add(new Action.RejectRequest(r.requestId(), 1000));
        } else {
            actions.add(new Action.SendAttempt(
                    r.requestId(), from.get(sentAttempts++ % from.size()).endpointId(), 0));
        }
    }
}
