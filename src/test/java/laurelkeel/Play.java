package laurelkeel;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import laurelkeel.api.Action;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.api.Event.Listed;
import laurelkeel.api.Event.MachineState;
import laurelkeel.api.Event.Outcome;
import laurelkeel.api.Event.Phase;
import laurelkeel.api.Settings;
import laurelkeel.api.Settings.Effect;
import laurelkeel.api.Settings.Group;
import laurelkeel.api.Settings.Route;
import laurelkeel.decision.Shifter;
import laurelkeel.lanes.Lanes;

/** The tests' one helper: plays events to a module, answers what it does, and watches the rules with a plain model. */
final class Play {
    static final long MS = 10;
    static final long SECOND = 10_000;

    /** One try as the plain model sees it. */
    record Sent(String req, int no, String machine, int build, int zone, long at, long dueBy) {}

    final Settings set;
    final Decider module;
    final List<String> broken = new ArrayList<>();
    final List<Action> lastDone = new ArrayList<>();
    final Map<String, Listed> list = new HashMap<>();
    final Map<String, Long> toldGone = new HashMap<>();
    final Map<String, Event.Req> owed = new HashMap<>();
    final Map<String, List<Sent>> tries = new HashMap<>();
    final Map<String, List<Outcome>> outcomes = new HashMap<>();
    final List<Sent> out = new ArrayList<>();
    final List<Sent> all = new ArrayList<>();
    final List<long[]> taken = new ArrayList<>();
    final Map<String, Integer> answeredBy = new HashMap<>();
    private final Map<String, String> keys = new HashMap<>();
    final Set<Integer> off = new HashSet<>();
    /** What the front was last told of each build. */
    final TreeMap<Integer, Event.ReleaseNews> told = new TreeMap<>();
    /** What the module asked to be woken for. */
    private final TreeMap<Long, Set<Long>> timers = new TreeMap<>();

    final List<Action.Vote> votes = new ArrayList<>();
    final List<Action> answers = new ArrayList<>();
    Event.ReleaseNews news = new Event.ReleaseNews(Event.Answer.OK, 0, 1, 0, Phase.RELEASED, 1, false);
    /** Draws the tries whose time-out is never told; null for none. */
    Random silent;

    long now = SECOND;
    int ids;

    Play(Settings set, long seed) {
        this(set, new Shifter(set, seed));
    }

    Play(Settings set, Decider module) {
        this.set = set;
        this.module = module;
    }

    /** Three routes, one of each kind; stages of a tenth, a half and all. */
    static Settings settings(boolean perRoute, int guarded, Settings.Control control) {
        return new Settings(
                0,
                2,
                0,
                List.of(
                        new Route(Effect.RETRIABLE, Group.ALL, 800 * MS, 2500 * MS, 2, 0, 0),
                        new Route(Effect.DEDUPED, Group.ZONE, SECOND, 4 * SECOND, 3, 0.2, 2 * SECOND),
                        new Route(Effect.NON_RETRIABLE, Group.ALL, SECOND, 3 * SECOND, 1, 0, 0)),
                List.of(),
                new Settings.Limits(SECOND, 5 * SECOND, 0.4, 2 * SECOND, 3, 10 * SECOND),
                new Settings.Allowed(4, true, false, true, true, SECOND, false),
                new Settings.Prices(0.05, 0.01, 0.01, 0.5, 3),
                new Settings.Rollout(
                        control,
                        1,
                        1,
                        0,
                        5 * SECOND,
                        SECOND,
                        40,
                        List.of(0.1, 0.5, 1.0),
                        2 * SECOND,
                        guarded,
                        true,
                        4 * SECOND,
                        2,
                        perRoute,
                        0,
                        0.3),
                false);
    }

    static Listed machine(String id, int build, int zone, MachineState state, long started) {
        return new Listed(id, build, zone, zone, 0, 1, state, started);
    }

    /** Machines of build 1, in two zones, that have run for long, and news that build 1 is released. */
    void begin(int machines) {
        List<Event> events = new ArrayList<>();
        List<Listed> named = new ArrayList<>();
        for (int i = 0; i < machines; i++) {
            named.add(machine("m" + i, 1, i % 2, MachineState.LIVE, 0));
        }
        events.add(new Event.MachineList(Event.ListKind.REMEMBERED, named));
        events.add(news);
        step(events);
    }

    void lists(Listed... changed) {
        step(List.of(new Event.MachineList(Event.ListKind.CHANGES, List.of(changed))));
    }

    void tells(int build, int stage, double cap, Phase phase) {
        step(List.of(new Event.ReleaseNews(Event.Answer.OK, stage, cap, 0, phase, build, false)));
    }

    String req(int route, String key) {
        String id = "r" + ids++;
        step(List.of(new Event.Req(id, route, 0, key, now + 2 * SECOND, 0, false)));
        return id;
    }

    Sent outOf(String id) {
        return out.stream().filter(s -> s.req.equals(id)).findFirst().orElse(null);
    }

    void ends(Sent s, Outcome outcome) {
        out.remove(s);
        boolean over = outcome == Outcome.COMPLETED || !owed.containsKey(s.req);
        step(List.of(new Event.TryEnded(s.req, s.no, s.machine, outcome, now - s.at, over, Map.of())));
    }

    void leaves(String id) {
        owed.remove(id);
        step(List.of(new Event.ClientLeft(id)));
    }

    /** Lets time pass: tries past their limit time out, and the module is woken. */
    void pass(long span) {
        for (long end = now + span; now < end; ) {
            now += 5 * MS;
            for (Sent s : List.copyOf(out)) {
                if (s.dueBy <= now) {
                    ends(s, Outcome.TIMEOUT);
                }
            }
            step(List.of(new Event.TimerDue(0)));
        }
    }

    /** A busy while: reqs come, and tries end well after took, or by chance as the builds' error shares say. */
    void traffic(long span, int everyMs, long took, double oldErrors, double newErrors, Random chance) {
        for (long end = now + span; now < end; ) {
            now += everyMs * MS;
            for (Sent s : List.copyOf(out)) {
                if (now >= s.at + took) {
                    double errors = s.build > 1 ? newErrors : oldErrors;
                    ends(s, chance.nextDouble() < errors ? Outcome.ERROR : Outcome.COMPLETED);
                }
            }
            req(chance.nextInt(2) * 2, "k" + chance.nextInt(400));
        }
    }

    void step(List<Event> events) {
        for (Event e : events) {
            if (e instanceof Event.MachineList l) {
                for (Listed m : l.machines()) {
                    list.put(m.machine(), m);
                    boolean gone = m.state() != MachineState.LIVE;
                    toldGone.compute(m.machine(), (k, was) -> gone ? was == null ? now : was : null);
                }
                if (l.kind() == Event.ListKind.FULL) {
                    // what a whole list does not name is gone
                    Set<String> named = new HashSet<>();
                    l.machines().forEach(m -> named.add(m.machine()));
                    list.keySet().stream().filter(m -> !named.contains(m)).forEach(m -> toldGone.putIfAbsent(m, now));
                }
            } else if (e instanceof Event.ReleaseNews n && n.answer() == Event.Answer.OK) {
                news = n;
                told.put(n.build(), n);
                answeredBy.values().removeIf(b -> b < n.build() && !told.containsKey(b));
            } else if (e instanceof Event.Req r) {
                owed.put(r.id(), r);
                keys.put(r.id(), r.key());
                tries.put(r.id(), new ArrayList<>());
                outcomes.put(r.id(), new ArrayList<>());
                taken.add(new long[] {now, r.route()});
            } else if (e instanceof Event.TryEnded t) {
                outcomes.get(t.req()).add(t.outcome());
                if (t.outcome() == Outcome.COMPLETED && owed.containsKey(t.req())) {
                    String key = owed.remove(t.req()).key();
                    int build = tries.get(t.req()).get(t.tryNo()).build;
                    // of a build passed over by the news a front cannot know that it is new
                    boolean known = told.containsKey(build) || build > told.lastKey();
                    answeredBy.merge(
                            key == null ? "" : key,
                            key == null || off.contains(build) || !known ? 0 : build,
                            Math::max);
                }
            }
        }
        told.values().stream()
                .filter(n -> n.phase() == Phase.GOING_BACK || n.phase() == Phase.WITHDRAWN)
                .forEach(n -> off.add(n.build()));
        answeredBy.values().removeIf(off::contains);
        lastDone.clear();
        lastDone.addAll(module.decide(now, events));
        for (Action a : lastDone) {
            if (a instanceof Action.Send s) {
                sent(s);
            } else if (a instanceof Action.Shed s) {
                check(1, owed.containsKey(s.req()), "a second answer to " + s.req());
                check(2, shedAllowed(s.req()), "shed though it may have run: " + s.req());
                owed.remove(s.req());
                answers.add(a);
            } else if (a instanceof Action.Err s) {
                check(1, owed.remove(s.req()) != null, "a second answer to " + s.req());
                answers.add(a);
            } else if (a instanceof Action.Vote v) {
                votes.add(v);
            } else if (a instanceof Action.Timer w) {
                timers.computeIfAbsent(Math.max(w.when(), now + 1), k -> new HashSet<>())
                        .add(w.handle());
            } else if (a instanceof Action.StopTry s) {
                out.stream()
                        .filter(o -> o.req.equals(s.req()) && o.no == s.tryNo())
                        .toList()
                        .forEach(o -> {
                            out.remove(o);
                            outcomes.get(o.req).add(Outcome.STOPPED);
                            module.decide(
                                    now,
                                    List.of(new Event.TryEnded(
                                            o.req,
                                            o.no,
                                            o.machine,
                                            Outcome.STOPPED,
                                            now - o.at,
                                            !owed.containsKey(o.req),
                                            Map.of())));
                        });
            }
        }
        Set<String> tried = new HashSet<>();
        out.forEach(s -> tried.add(s.req));
        owed.values().forEach(r -> {
            check(1, now < r.clientLeaves(), "no answer in time to " + r.id());
            check(1, tried.contains(r.id()), "neither tried nor answered at once: " + r.id());
        });
    }

    private void check(int rule, boolean kept, String what) {
        if (!kept) {
            broken.add("rule " + rule + " at " + now + ": " + what);
        }
    }

    /** What was broken of one rule. */
    List<String> brokenOf(int rule) {
        return broken.stream().filter(b -> b.startsWith("rule " + rule + " ")).toList();
    }

    /** Lets time pass as a front does: the module is woken when it asked to be, and for nothing else. */
    void sleep(long span) {
        long end = now + span;
        while (true) {
            long due = out.stream().mapToLong(Sent::dueBy).min().orElse(Long.MAX_VALUE);
            long at = Math.min(due, timers.isEmpty() ? Long.MAX_VALUE : timers.firstKey());
            if (at > end) {
                now = end;
                return;
            }
            now = Math.max(now, at);
            for (Sent s : List.copyOf(out)) {
                if (s.dueBy <= now && out.contains(s)) {
                    ends(s, Outcome.TIMEOUT);
                }
            }
            while (!timers.isEmpty() && timers.firstKey() <= now) {
                for (long handle : timers.pollFirstEntry().getValue()) {
                    step(List.of(new Event.TimerDue(handle)));
                }
            }
        }
    }

    private Sent mayHaveRun(String req) {
        List<Sent> sent = tries.get(req);
        for (int i = 0; i < sent.size(); i++) {
            Outcome o = i < outcomes.get(req).size() ? outcomes.get(req).get(i) : null;
            if (o != Outcome.FULL && o != Outcome.NO_CONNECTION && o != Outcome.NOT_SENT) {
                return sent.get(i);
            }
        }
        return null;
    }

    private boolean shedAllowed(String id) {
        Event.Req r = owed.get(id);
        if (r == null) {
            return true;
        }
        Route route = set.routes().get(r.route());
        return mayHaveRun(id) == null
                || route.effect() == Effect.RETRIABLE
                || route.effect() == Effect.DEDUPED
                        && route.group() == Group.ALL
                        && now <= mayHaveRun(id).at + route.repeatWindow();
    }

    /** A build is on trial until news says otherwise, also one that no news names yet; with one release the latest only. */
    boolean onTrial(int build) {
        Event.ReleaseNews n = told.get(build);
        int latest = told.isEmpty() ? 1 : told.lastKey();
        boolean passed = !(module instanceof Lanes) && build < latest
                || told.tailMap(build, false).values().stream().anyMatch(r -> r.phase() == Phase.RELEASED);
        return off.contains(build) || !passed && (n == null ? build > latest : n.phase() != Phase.RELEASED);
    }

    double cap(int build) {
        Event.ReleaseNews n = told.get(build);
        return n == null ? set.rollout().stageCaps().get(0) : n.phase() == Phase.TRIAL ? n.cap() : 0;
    }

    /** Exposure within the window, counted afresh and slowly, were one more try sent now. */
    boolean exposureAllows(int build, int route) {
        long from = now - set.rollout().window();
        long tried = all.stream()
                .filter(s -> s.build == build && s.at >= from && counts(s.req, route))
                .count();
        long reqs = taken.stream()
                .filter(t -> t[0] >= from && (!set.rollout().perRoute() || t[1] == route))
                .count();
        return tried + 1 <= set.rollout().free() + cap(build) * reqs;
    }

    private final Map<String, Integer> routeOf = new HashMap<>();

    private boolean counts(String req, int route) {
        return !set.rollout().perRoute() || routeOf.get(req) == route;
    }

    /** A build whose answers bind their keys; of one passed over by the news a front cannot know that it is new. */
    private boolean ahead(int build) {
        return !off.contains(build) && (told.containsKey(build) || build > told.lastKey());
    }

    private void sent(Action.Send s) {
        Event.Req r = owed.get(s.req());
        check(1, r != null, "sent though answered: " + s.req());
        if (r == null) {
            return;
        }
        routeOf.put(s.req(), r.route());
        Listed m = list.get(s.machine());
        Long gone = toldGone.get(s.machine());
        check(3, gone == null || now <= gone + set.limits().drainGrace(), "sent to a draining machine");
        check(2, out.stream().noneMatch(o -> o.req.equals(s.req())), "two tries at once");
        Route route = set.routes().get(r.route());
        Sent first = mayHaveRun(s.req());
        check(2, first == null || route.effect() != Effect.NON_RETRIABLE, "a non-retriable req ran twice");
        check(
                2,
                first == null
                        || route.effect() != Effect.DEDUPED
                        || now <= first.at + route.repeatWindow()
                                && (route.group() == Group.ALL || first.zone == m.zone()),
                "a deduped req outside its group or window");
        if (onTrial(m.build())) {
            check(
                    5,
                    cap(m.build()) > 0 && exposureAllows(m.build(), r.route()),
                    "exposure over the cap of build " + m.build());
            int stage = told.containsKey(m.build()) ? told.get(m.build()).stage() : 0;
            check(5, stage >= set.rollout().guardedStages() || route.effect() == Effect.RETRIABLE, "guarded stage");
        }
        check(5, r.key() == null || m.build() >= answeredBy.getOrDefault(r.key(), 0), "a one-way key went back");
        check(
                5,
                r.key() == null
                        || out.stream()
                                .noneMatch(o -> o.at < now
                                        && r.key().equals(keys.get(o.req))
                                        && ahead(o.build)
                                        && m.build() < o.build),
                "a one-way key went back while a later build may have answered it");
        Sent sent = new Sent(
                s.req(),
                tries.get(s.req()).size(),
                s.machine(),
                m.build(),
                m.zone(),
                now,
                silent != null && silent.nextInt(10) == 0
                        ? Long.MAX_VALUE
                        : now + Math.min(s.within(), r.clientLeaves() - now));
        tries.get(s.req()).add(sent);
        out.add(sent);
        all.add(sent);
    }
}
