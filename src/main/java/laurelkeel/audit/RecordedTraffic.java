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
        final TrafficRecord.Asked asked;
        final List<TrafficRecord.Answered> answers = new ArrayList<>();
        final List<TrafficRecord.Stray> strays = new ArrayList<>();
        final List<TrafficRecord.Arrived> arrived = new ArrayList<>();
        final Map<Integer, TrafficRecord.TurnedAway> turnedAway = new HashMap<>();
        final Map<Integer, TrafficRecord.Replied> replied = new HashMap<>();
        TrafficRecord.Broke broke;
        TrafficRecord.LeftEarly left;
        TrafficRecord.RouteRule route;

        Req(TrafficRecord.Asked asked) {
            this.asked = asked;
        }

        /** Whether that arrival may have had an effect, as the machine knows it by a moment. */
        boolean mayHaveRun(TrafficRecord.Arrived a, long by) {
            TrafficRecord.TurnedAway t = turnedAway.get(a.no());
            return t == null || t.t() > by || !t.machine().equals(a.machine());
        }
    }

    /** One life of a front: what it was told, in the order of arrival. */
    static final class Life {
        final int front;
        final String name;
        final long from;
        long until = Long.MAX_VALUE;
        final List<TrafficRecord.ToldList> lists = new ArrayList<>();
        final List<TrafficRecord.ToldNews> news = new ArrayList<>();
        final List<TrafficRecord.Arrived> sent = new ArrayList<>();

        Life(int front, String name, long from) {
            this.front = front;
            this.name = name;
            this.from = from;
        }
    }

    /** One start of a machine. */
    static final class Run {
        final TrafficRecord.MachineUp up;
        final List<TrafficRecord.Arrived> arrived = new ArrayList<>();
        TrafficRecord.MachineDown down;

        Run(TrafficRecord.MachineUp up) {
            this.up = up;
        }
    }

    final TrafficRecord.Rules rules;
    final Map<String, Req> reqs = new LinkedHashMap<>();
    final Map<String, Life> lives = new LinkedHashMap<>();
    final Map<String, Run> runs = new LinkedHashMap<>();
    final List<TrafficRecord.FrontDown> downs = new ArrayList<>();

    /** @throws IllegalArgumentException where the figures of the rules are missing */
    RecordedTraffic(List<TrafficRecord> all) {
        TrafficRecord.Rules found = null;
        for (TrafficRecord r : all) {
            found = r instanceof TrafficRecord.Rules rules ? rules : found;
            add(r);
        }
        if (found == null) {
            throw new IllegalArgumentException(
                    "the records hold no line of kind 'rules'; without it no rule can be " + "judged");
        }
        rules = found;
        Map<String, TrafficRecord.RouteRule> routes = new HashMap<>();
        rules.routes().forEach(r -> routes.put(r.name(), r));
        for (Req r : reqs.values()) {
            r.route = routes.get(r.asked.route());
            if (r.route == null) {
                throw new IllegalArgumentException("req " + r.asked.req() + " names route '" + r.asked.route()
                        + "', of which the line of kind 'rules' says nothing");
            }
        }
    }

    private void add(TrafficRecord r) {
        if (r instanceof TrafficRecord.Asked a) {
            reqs.put(a.req(), new Req(a));
        } else if (r instanceof TrafficRecord.Answered a) {
            with(a.req(), q -> q.answers.add(a));
        } else if (r instanceof TrafficRecord.Stray s) {
            with(s.req(), q -> q.strays.add(s));
        } else if (r instanceof TrafficRecord.Broke b) {
            with(b.req(), q -> q.broke = b);
        } else if (r instanceof TrafficRecord.LeftEarly l) {
            with(l.req(), q -> q.left = l);
        } else if (r instanceof TrafficRecord.FrontUp f) {
            lives.put(f.front() + "/" + f.life(), new Life(f.front(), f.life(), f.t()));
        } else if (r instanceof TrafficRecord.FrontDown d) {
            downs.add(d);
            lives.values().forEach(l -> l.until = l.front == d.front() ? Math.min(l.until, d.t()) : l.until);
        } else if (r instanceof TrafficRecord.ToldList l) {
            lives.get(l.front() + "/" + l.life()).lists.add(l);
        } else if (r instanceof TrafficRecord.ToldNews n) {
            lives.get(n.front() + "/" + n.life()).news.add(n);
        } else if (r instanceof TrafficRecord.MachineUp m) {
            runs.put(m.machine() + "#" + m.run(), new Run(m));
        } else if (r instanceof TrafficRecord.MachineDown m) {
            runs.get(m.machine() + "#" + m.run()).down = m;
        } else if (r instanceof TrafficRecord.Arrived a) {
            with(a.req(), q -> q.arrived.add(a));
            runs.get(a.machine() + "#" + a.run()).arrived.add(a);
            Life life = lives.get(a.front() + "/" + a.life());
            if (life != null) {
                life.sent.add(a);
            }
        } else if (r instanceof TrafficRecord.TurnedAway a) {
            with(a.req(), q -> q.turnedAway.put(a.no(), a));
        } else if (r instanceof TrafficRecord.Replied a) {
            with(a.req(), q -> q.replied.put(a.no(), a));
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
                .anyMatch(d -> d.front() == front && Math.abs(d.t() - t) < 10_000 && (d.killed() || !killedOnly));
    }
}
