package laurelkeel.audit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import laurelkeel.records.TrafficRecord;

/** The records, sorted by what the rules ask of them. */
final class RecordedTraffic {

    /** One try of a client, with all that was seen of it. */
    static final class Req {
        final TrafficRecord.RequestSent asked;
        final List<TrafficRecord.ResponseReceived> answers = new ArrayList<>();
        final List<TrafficRecord.UnexpectedBytes> strays = new ArrayList<>();
        final List<TrafficRecord.AttemptArrived> arrived = new ArrayList<>();
        final Map<Integer, TrafficRecord.AttemptRejected> turnedAway = new HashMap<>();
        final Map<Integer, TrafficRecord.AttemptAnswered> replied = new HashMap<>();
        TrafficRecord.ConnectionBroken broke;
        TrafficRecord.ClientClosed left;
        TrafficRecord.RoutePolicy route;

        Req(TrafficRecord.RequestSent asked) {
            this.asked = asked;
        }

        /** Whether that arrival may have had an effect, as the machine knows it by a moment. */
        boolean mayHaveRun(TrafficRecord.AttemptArrived a, long by) {
            TrafficRecord.AttemptRejected t = turnedAway.get(a.attemptNumber());
            return t == null || t.timeTicks() > by || !t.endpointId().equals(a.endpointId());
        }
    }

    /** One life of a front: what it was told, in the order of arrival. */
    static final class Life {
        final int front;
        final String name;
        final long from;
        long until = Long.MAX_VALUE;
        final List<TrafficRecord.EndpointListReceived> lists = new ArrayList<>();
        final List<TrafficRecord.RolloutUpdateReceived> news = new ArrayList<>();
        final List<TrafficRecord.AttemptArrived> sent = new ArrayList<>();

        Life(int front, String name, long from) {
            this.front = front;
            this.name = name;
            this.from = from;
        }
    }

    /** One start of a machine. */
    static final class Run {
        final TrafficRecord.ServerStarted up;
        final List<TrafficRecord.AttemptArrived> arrived = new ArrayList<>();
        TrafficRecord.ServerStopped down;

        Run(TrafficRecord.ServerStarted up) {
            this.up = up;
        }
    }

    final TrafficRecord.AuditParameters rules;
    final Map<String, Req> reqs = new LinkedHashMap<>();
    final Map<String, Life> lives = new LinkedHashMap<>();
    final Map<String, Run> runs = new LinkedHashMap<>();
    final List<TrafficRecord.NodeStopped> downs = new ArrayList<>();

    /** @throws IllegalArgumentException where the figures of the rules are missing */
    RecordedTraffic(List<TrafficRecord> all) {
        TrafficRecord.AuditParameters found = null;
        for (TrafficRecord r : all) {
            found = r instanceof TrafficRecord.AuditParameters rules ? rules : found;
            add(r);
        }
        if (found == null) {
            throw new IllegalArgumentException(
                    "the records hold no line of kind 'rules'; without it no rule can be " + "judged");
        }
        rules = found;
        Map<String, TrafficRecord.RoutePolicy> routes = new HashMap<>();
        rules.routes().forEach(r -> routes.put(r.name(), r));
        for (Req r : reqs.values()) {
            r.route = routes.get(r.asked.route());
            if (r.route == null) {
                throw new IllegalArgumentException("req " + r.asked.requestId() + " names route '" + r.asked.route()
                        + "', of which the line of kind 'rules' says nothing");
            }
        }
    }

    private void add(TrafficRecord r) {
        if (r instanceof TrafficRecord.RequestSent a) {
            reqs.put(a.requestId(), new Req(a));
        } else if (r instanceof TrafficRecord.ResponseReceived a) {
            with(a.requestId(), q -> q.answers.add(a));
        } else if (r instanceof TrafficRecord.UnexpectedBytes s) {
            with(s.requestId(), q -> q.strays.add(s));
        } else if (r instanceof TrafficRecord.ConnectionBroken b) {
            with(b.requestId(), q -> q.broke = b);
        } else if (r instanceof TrafficRecord.ClientClosed l) {
            with(l.requestId(), q -> q.left = l);
        } else if (r instanceof TrafficRecord.NodeStarted f) {
            lives.put(
                    f.nodeIndex() + "/" + f.nodeIncarnation(),
                    new Life(f.nodeIndex(), f.nodeIncarnation(), f.timeTicks()));
        } else if (r instanceof TrafficRecord.NodeStopped d) {
            downs.add(d);
            lives.values()
                    .forEach(l -> l.until = l.front == d.nodeIndex() ? Math.min(l.until, d.timeTicks()) : l.until);
        } else if (r instanceof TrafficRecord.EndpointListReceived l) {
            lives.get(l.nodeIndex() + "/" + l.nodeIncarnation()).lists.add(l);
        } else if (r instanceof TrafficRecord.RolloutUpdateReceived n) {
            lives.get(n.nodeIndex() + "/" + n.nodeIncarnation()).news.add(n);
        } else if (r instanceof TrafficRecord.ServerStarted m) {
            runs.put(m.endpointId() + "#" + m.incarnation(), new Run(m));
        } else if (r instanceof TrafficRecord.ServerStopped m) {
            runs.get(m.endpointId() + "#" + m.incarnation()).down = m;
        } else if (r instanceof TrafficRecord.AttemptArrived a) {
            with(a.requestId(), q -> q.arrived.add(a));
            runs.get(a.endpointId() + "#" + a.incarnation()).arrived.add(a);
            Life life = lives.get(a.nodeIndex() + "/" + a.nodeIncarnation());
            if (life != null) {
                life.sent.add(a);
            }
        } else if (r instanceof TrafficRecord.AttemptRejected a) {
            with(a.requestId(), q -> q.turnedAway.put(a.attemptNumber(), a));
        } else if (r instanceof TrafficRecord.AttemptAnswered a) {
            with(a.requestId(), q -> q.replied.put(a.attemptNumber(), a));
        }
    }

    private void with(String req, java.util.function.Consumer<Req> then) {
        Req q = reqs.get(req);
        if (q != null) {
            then.accept(q);
        }
    }

    /** Whether a front ended, by force or not, close to a moment. */
    boolean endedNear(int front, long t, boolean killedOnly) {
        return downs.stream()
                .anyMatch(d ->
                        d.nodeIndex() == front && Math.abs(d.timeTicks() - t) < 10_000 && (d.killed() || !killedOnly));
    }
}
