package laurelkeel.audit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import laurelkeel.records.Rec;

/** The records, sorted by what the rules ask of them. */
final class Traffic {

    /** One try of a client, with all that was seen of it. */
    static final class Req {
        final Rec.Asked asked;
        final List<Rec.Answered> answers = new ArrayList<>();
        final List<Rec.Stray> strays = new ArrayList<>();
        final List<Rec.Arrived> arrived = new ArrayList<>();
        final Map<Integer, Rec.TurnedAway> turnedAway = new HashMap<>();
        final Map<Integer, Rec.Replied> replied = new HashMap<>();
        Rec.Broke broke;
        Rec.LeftEarly left;
        Rec.RouteRule route;

        Req(Rec.Asked asked) {
            this.asked = asked;
        }

        /** Whether that arrival may have had an effect, as the machine knows it by a moment. */
        boolean mayHaveRun(Rec.Arrived a, long by) {
            Rec.TurnedAway t = turnedAway.get(a.no());
            return t == null || t.t() > by || !t.machine().equals(a.machine());
        }
    }

    /** One life of a front: what it was told, in the order of arrival. */
    static final class Life {
        final int front;
        final String name;
        final long from;
        long until = Long.MAX_VALUE;
        final List<Rec.ToldList> lists = new ArrayList<>();
        final List<Rec.ToldNews> news = new ArrayList<>();
        final List<Rec.Arrived> sent = new ArrayList<>();

        Life(int front, String name, long from) {
            this.front = front;
            this.name = name;
            this.from = from;
        }
    }

    /** One start of a machine. */
    static final class Run {
        final Rec.MachineUp up;
        final List<Rec.Arrived> arrived = new ArrayList<>();
        Rec.MachineDown down;

        Run(Rec.MachineUp up) {
            this.up = up;
        }
    }

    final Rec.Rules rules;
    final Map<String, Req> reqs = new LinkedHashMap<>();
    final Map<String, Life> lives = new LinkedHashMap<>();
    final Map<String, Run> runs = new LinkedHashMap<>();
    final List<Rec.FrontDown> downs = new ArrayList<>();

    /** @throws IllegalArgumentException where the figures of the rules are missing */
    Traffic(List<Rec> all) {
        Rec.Rules found = null;
        for (Rec r : all) {
            found = r instanceof Rec.Rules rules ? rules : found;
            add(r);
        }
        if (found == null) {
            throw new IllegalArgumentException(
                    "the records hold no line of kind 'rules'; without it no rule can be " + "judged");
        }
        rules = found;
        Map<String, Rec.RouteRule> routes = new HashMap<>();
        rules.routes().forEach(r -> routes.put(r.name(), r));
        for (Req r : reqs.values()) {
            r.route = routes.get(r.asked.route());
            if (r.route == null) {
                throw new IllegalArgumentException("req " + r.asked.req() + " names route '" + r.asked.route()
                        + "', of which the line of kind 'rules' says nothing");
            }
        }
    }

    private void add(Rec r) {
        if (r instanceof Rec.Asked a) {
            reqs.put(a.req(), new Req(a));
        } else if (r instanceof Rec.Answered a) {
            with(a.req(), q -> q.answers.add(a));
        } else if (r instanceof Rec.Stray s) {
            with(s.req(), q -> q.strays.add(s));
        } else if (r instanceof Rec.Broke b) {
            with(b.req(), q -> q.broke = b);
        } else if (r instanceof Rec.LeftEarly l) {
            with(l.req(), q -> q.left = l);
        } else if (r instanceof Rec.FrontUp f) {
            lives.put(f.front() + "/" + f.life(), new Life(f.front(), f.life(), f.t()));
        } else if (r instanceof Rec.FrontDown d) {
            downs.add(d);
            lives.values().forEach(l -> l.until = l.front == d.front() ? Math.min(l.until, d.t()) : l.until);
        } else if (r instanceof Rec.ToldList l) {
            lives.get(l.front() + "/" + l.life()).lists.add(l);
        } else if (r instanceof Rec.ToldNews n) {
            lives.get(n.front() + "/" + n.life()).news.add(n);
        } else if (r instanceof Rec.MachineUp m) {
            runs.put(m.machine() + "#" + m.run(), new Run(m));
        } else if (r instanceof Rec.MachineDown m) {
            runs.get(m.machine() + "#" + m.run()).down = m;
        } else if (r instanceof Rec.Arrived a) {
            with(a.req(), q -> q.arrived.add(a));
            runs.get(a.machine() + "#" + a.run()).arrived.add(a);
            Life life = lives.get(a.front() + "/" + a.life());
            if (life != null) {
                life.sent.add(a);
            }
        } else if (r instanceof Rec.TurnedAway a) {
            with(a.req(), q -> q.turnedAway.put(a.no(), a));
        } else if (r instanceof Rec.Replied a) {
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
