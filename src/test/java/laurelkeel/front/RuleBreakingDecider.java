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

/** A simple decider that keeps the rules; tests override a method to break one of them. */
class RuleBreakingDecider implements Decider {
    final Map<String, EndpointEntry> endpoints = new TreeMap<>();
    final Map<String, Event.RequestReceived> activeRequests = new HashMap<>();
    final List<Action> actions = new ArrayList<>();
    int sentAttempts, seenRequests;

    @Override
    public List<Action> decide(long now, List<Event> events) {
        actions.clear();
        for (Event event : events) {
            if (event instanceof Event.EndpointListUpdate update) {
                update.entries().forEach(endpoint -> endpoints.put(endpoint.endpointId(), endpoint));
            } else if (event instanceof Event.RequestReceived request) {
                activeRequests.put(request.requestId(), request);
                onRequest(request);
            } else if (event instanceof Event.AttemptEnded attempt) {
                Event.RequestReceived request = activeRequests.get(attempt.requestId());
                if (attempt.requestEnded()) {
                    activeRequests.remove(attempt.requestId());
                } else if (request != null) {
                    onAttemptFailed(request, attempt);
                }
            } else if (event instanceof Event.ClientDisconnected disconnect) {
                activeRequests.remove(disconnect.requestId());
            }
        }
        return List.copyOf(actions);
    }

    void onRequest(Event.RequestReceived request) {
        send(request);
    }

    void onAttemptFailed(Event.RequestReceived request, Event.AttemptEnded attempt) {
        activeRequests.remove(request.requestId());
        actions.add(new Action.FailRequest(request.requestId()));
    }

    /** Returns whether a request may be sent to an endpoint. */
    boolean mayUse(EndpointEntry endpoint, Event.RequestReceived request) {
        return endpoint.state() == Event.EndpointState.ACTIVE && endpoint.build() == 1;
    }

    void send(Event.RequestReceived request) {
        List<EndpointEntry> candidates = endpoints.values().stream()
                .filter(endpoint -> mayUse(endpoint, request))
                .toList();
        if (candidates.isEmpty()) {
            activeRequests.remove(request.requestId());
            actions.add(new Action.RejectRequest(request.requestId(), 1000));
        } else {
            actions.add(new Action.SendAttempt(
                    request.requestId(),
                    candidates.get(sentAttempts++ % candidates.size()).endpointId(),
                    0));
        }
    }
}
