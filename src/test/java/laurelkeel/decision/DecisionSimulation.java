package laurelkeel.decision;

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
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.LoadReport;
import laurelkeel.api.Settings;
import laurelkeel.api.Settings.DeduplicationScope;
import laurelkeel.api.Settings.Idempotency;
import laurelkeel.api.Settings.Route;
import laurelkeel.partition.PartitionedDecider;

/** The tests' one helper: plays events to a module, answers what it does, and watches the rules with a plain model. */
final class DecisionSimulation {
    static final long MS = 10;
    static final long SECOND = 10_000;

    /** One try as the plain model sees it. */
    record Sent(String req, int no, String machine, int build, int zone, long at, long dueBy) {}

    final Settings set;
    final Decider module;
    final List<String> broken = new ArrayList<>();
    final List<Action> lastDone = new ArrayList<>();
    final Map<String, EndpointEntry> list = new HashMap<>();
    final Map<String, Long> toldGone = new HashMap<>();
    final Map<String, Event.RequestReceived> owed = new HashMap<>();
    final Map<String, List<Sent>> tries = new HashMap<>();
    final Map<String, List<AttemptOutcome>> outcomes = new HashMap<>();
    final List<Sent> out = new ArrayList<>();
    final List<Sent> all = new ArrayList<>();
    final List<long[]> taken = new ArrayList<>();
    final Map<String, Integer> answeredBy = new HashMap<>();
    private final Map<String, String> keys = new HashMap<>();
    final Set<Integer> off = new HashSet<>();
    /** What the front was last told of each build. */
    final TreeMap<Integer, Event.RolloutUpdate> told = new TreeMap<>();
    /** What the module asked to be woken for. */
    private final TreeMap<Long, Set<Long>> timers = new TreeMap<>();

    final List<Action.CastVote> votes = new ArrayList<>();
    final List<Action> answers = new ArrayList<>();
    Event.RolloutUpdate news =
            new Event.RolloutUpdate(Event.ControlStatus.OK, 0, 1, 0, RolloutPhase.RELEASED, 1, false);
    /** Draws the tries whose time-out is never told; null for none. */
    Random silent;

    long now = SECOND;
    int ids;

    DecisionSimulation(Settings set, long seed) {
        this(set, new RoutingDecider(set, seed));
    }

    DecisionSimulation(Settings set, Decider module) {
        this.set = set;
        this.module = module;
    }

    /** Three routes, one of each kind; stages of a tenth, a half and all. */
    static Settings settings(boolean perRoute, int guarded, Settings.PromotionPolicy control) {
        return new Settings(
                0,
                2,
                0,
                List.of(
                        new Route(Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 800 * MS, 2500 * MS, 2, 0, 0),
                        new Route(
                                Idempotency.DEDUPLICATED,
                                DeduplicationScope.ZONE,
                                SECOND,
                                4 * SECOND,
                                3,
                                0.2,
                                2 * SECOND),
                        new Route(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL, SECOND, 3 * SECOND, 1, 0, 0)),
                List.of(),
                new Settings.Limits(SECOND, 5 * SECOND, 0.4, 2 * SECOND, 3, 10 * SECOND),
                new Settings.Capabilities(4, true, false, true, true, SECOND, false),
                new Settings.Costs(0.05, 0.01, 0.01, 0.5, 3),
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

    static EndpointEntry machine(String id, int build, int zone, EndpointState state, long started) {
        return new EndpointEntry(id, build, zone, zone, 0, 1, state, started);
    }

    /** Machines of build 1, in two zones, that have run for long, and news that build 1 is released. */
    void begin(int machines) {
        List<Event> events = new ArrayList<>();
        List<EndpointEntry> named = new ArrayList<>();
        for (int i = 0; i < machines; i++) {
            named.add(machine("m" + i, 1, i % 2, EndpointState.ACTIVE, 0));
        }
        events.add(new Event.EndpointListUpdate(Event.EndpointListKind.CACHED, named));
        events.add(news);
        step(events);
    }

    void lists(EndpointEntry... changed) {
        step(List.of(new Event.EndpointListUpdate(Event.EndpointListKind.DELTA, List.of(changed))));
    }

    void tells(int build, int stage, double cap, RolloutPhase phase) {
        step(List.of(new Event.RolloutUpdate(Event.ControlStatus.OK, stage, cap, 0, phase, build, false)));
    }

    String req(int route, String key) {
        String id = "r" + ids++;
        step(List.of(new Event.RequestReceived(id, route, 0, key, now + 2 * SECOND, 0, false)));
        return id;
    }

    Sent outOf(String id) {
        return out.stream().filter(s -> s.req.equals(id)).findFirst().orElse(null);
    }

    void ends(Sent s, AttemptOutcome outcome) {
        out.remove(s);
        boolean over = outcome == AttemptOutcome.COMPLETED || !owed.containsKey(s.req);
        step(List.of(new Event.AttemptEnded(s.req, s.no, s.machine, outcome, now - s.at, over, LoadReport.NONE)));
    }

    void leaves(String id) {
        owed.remove(id);
        step(List.of(new Event.ClientDisconnected(id)));
    }

    /** Lets time pass: tries past their limit time out, and the module is woken. */
    void pass(long span) {
        for (long end = now + span; now < end; ) {
            now += 5 * MS;
            for (Sent s : List.copyOf(out)) {
                if (s.dueBy <= now) {
                    ends(s, AttemptOutcome.TIMED_OUT);
                }
            }
            step(List.of(new Event.TimerFired(0)));
        }
    }

    /** A busy while: reqs come, and tries end well after took, or by chance as the builds' error shares say. */
    void traffic(long span, int everyMs, long took, double oldErrors, double newErrors, Random chance) {
        for (long end = now + span; now < end; ) {
            now += everyMs * MS;
            for (Sent s : List.copyOf(out)) {
                if (now >= s.at + took) {
                    double errors = s.build > 1 ? newErrors : oldErrors;
                    ends(s, chance.nextDouble() < errors ? AttemptOutcome.FAILED : AttemptOutcome.COMPLETED);
                }
            }
            req(chance.nextInt(2) * 2, "k" + chance.nextInt(400));
        }
    }

    void step(List<Event> events) {
        for (Event e : events) {
            if (e instanceof Event.EndpointListUpdate l) {
                for (EndpointEntry m : l.entries()) {
                    list.put(m.endpointId(), m);
                    boolean gone = m.state() != EndpointState.ACTIVE;
                    toldGone.compute(m.endpointId(), (k, was) -> gone ? was == null ? now : was : null);
                }
                if (l.kind() == Event.EndpointListKind.SNAPSHOT) {
                    // what a whole list does not name is gone
                    Set<String> named = new HashSet<>();
                    l.entries().forEach(m -> named.add(m.endpointId()));
                    list.keySet().stream().filter(m -> !named.contains(m)).forEach(m -> toldGone.putIfAbsent(m, now));
                }
            } else if (e instanceof Event.RolloutUpdate n && n.status() == Event.ControlStatus.OK) {
                news = n;
                told.put(n.build(), n);
                answeredBy.values().removeIf(b -> b < n.build() && !told.containsKey(b));
            } else if (e instanceof Event.RequestReceived r) {
                owed.put(r.requestId(), r);
                keys.put(r.requestId(), r.partitionKey());
                tries.put(r.requestId(), new ArrayList<>());
                outcomes.put(r.requestId(), new ArrayList<>());
                taken.add(new long[] {now, r.route()});
            } else if (e instanceof Event.AttemptEnded t) {
                outcomes.get(t.requestId()).add(t.outcome());
                if (t.outcome() == AttemptOutcome.COMPLETED && owed.containsKey(t.requestId())) {
                    String key = owed.remove(t.requestId()).partitionKey();
                    int build = tries.get(t.requestId()).get(t.attempt()).build;
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
                .filter(n -> n.phase() == RolloutPhase.ROLLING_BACK || n.phase() == RolloutPhase.ROLLED_BACK)
                .forEach(n -> off.add(n.build()));
        answeredBy.values().removeIf(off::contains);
        lastDone.clear();
        lastDone.addAll(module.decide(now, events));
        for (Action a : lastDone) {
            if (a instanceof Action.SendAttempt s) {
                sent(s);
            } else if (a instanceof Action.RejectRequest s) {
                check(1, owed.containsKey(s.requestId()), "a second answer to " + s.requestId());
                check(2, shedAllowed(s.requestId()), "shed though it may have run: " + s.requestId());
                owed.remove(s.requestId());
                answers.add(a);
            } else if (a instanceof Action.FailRequest s) {
                check(1, owed.remove(s.requestId()) != null, "a second answer to " + s.requestId());
                answers.add(a);
            } else if (a instanceof Action.CastVote v) {
                votes.add(v);
            } else if (a instanceof Action.StartTimer w) {
                timers.computeIfAbsent(Math.max(w.dueAtTicks(), now + 1), k -> new HashSet<>())
                        .add(w.timerId());
            } else if (a instanceof Action.CancelAttempt s) {
                out.stream()
                        .filter(o -> o.req.equals(s.requestId()) && o.no == s.attempt())
                        .toList()
                        .forEach(o -> {
                            out.remove(o);
                            outcomes.get(o.req).add(AttemptOutcome.CANCELLED);
                            module.decide(
                                    now,
                                    List.of(new Event.AttemptEnded(
                                            o.req,
                                            o.no,
                                            o.machine,
                                            AttemptOutcome.CANCELLED,
                                            now - o.at,
                                            !owed.containsKey(o.req),
                                            LoadReport.NONE)));
                        });
            }
        }
        Set<String> tried = new HashSet<>();
        out.forEach(s -> tried.add(s.req));
        owed.values().forEach(r -> {
            check(1, now < r.deadlineTicks(), "no answer in time to " + r.requestId());
            check(1, tried.contains(r.requestId()), "neither tried nor answered at once: " + r.requestId());
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
                    ends(s, AttemptOutcome.TIMED_OUT);
                }
            }
            while (!timers.isEmpty() && timers.firstKey() <= now) {
                for (long handle : timers.pollFirstEntry().getValue()) {
                    step(List.of(new Event.TimerFired(handle)));
                }
            }
        }
    }

    private Sent mayHaveRun(String req) {
        List<Sent> sent = tries.get(req);
        for (int i = 0; i < sent.size(); i++) {
            AttemptOutcome o = i < outcomes.get(req).size() ? outcomes.get(req).get(i) : null;
            if (o != AttemptOutcome.OVERLOADED && o != AttemptOutcome.CONNECT_FAILED && o != AttemptOutcome.NOT_SENT) {
                return sent.get(i);
            }
        }
        return null;
    }

    private boolean shedAllowed(String id) {
        Event.RequestReceived r = owed.get(id);
        if (r == null) {
            return true;
        }
        Route route = set.routes().get(r.route());
        return mayHaveRun(id) == null
                || route.idempotency() == Idempotency.IDEMPOTENT
                || (route.idempotency() == Idempotency.DEDUPLICATED
                        && route.deduplicationScope() == DeduplicationScope.ALL
                        && now <= mayHaveRun(id).at + route.deduplicationWindowTicks());
    }

    /** A build is on trial until news says otherwise, also one that no news names yet; with one release the latest only. */
    boolean onTrial(int build) {
        Event.RolloutUpdate n = told.get(build);
        int latest = told.isEmpty() ? 1 : told.lastKey();
        boolean passed = (!(module instanceof PartitionedDecider) && build < latest)
                || told.tailMap(build, false).values().stream().anyMatch(r -> r.phase() == RolloutPhase.RELEASED);
        return off.contains(build) || (!passed && (n == null ? build > latest : n.phase() != RolloutPhase.RELEASED));
    }

    double cap(int build) {
        Event.RolloutUpdate n = told.get(build);
        return n == null
                ? set.rollout().stageExposureCaps().get(0)
                : n.phase() == RolloutPhase.CANARY ? n.exposureCap() : 0;
    }

    /** Exposure within the window, counted afresh and slowly, were one more try sent now. */
    boolean exposureAllows(int build, int route) {
        long from = now - set.rollout().exposureWindowTicks();
        long tried = all.stream()
                .filter(s -> s.build == build && s.at >= from && counts(s.req, route))
                .count();
        long reqs = taken.stream()
                .filter(t -> t[0] >= from && (!set.rollout().exposurePerRoute() || t[1] == route))
                .count();
        return tried + 1 <= set.rollout().exposureAllowance() + cap(build) * reqs;
    }

    private final Map<String, Integer> routeOf = new HashMap<>();

    private boolean counts(String req, int route) {
        return !set.rollout().exposurePerRoute() || routeOf.get(req) == route;
    }

    /** A build whose answers bind their keys; of one passed over by the news a front cannot know that it is new. */
    private boolean ahead(int build) {
        return !off.contains(build) && (told.containsKey(build) || build > told.lastKey());
    }

    private void sent(Action.SendAttempt s) {
        Event.RequestReceived r = owed.get(s.requestId());
        check(1, r != null, "sent though answered: " + s.requestId());
        if (r == null) {
            return;
        }
        routeOf.put(s.requestId(), r.route());
        EndpointEntry m = list.get(s.endpointId());
        Long gone = toldGone.get(s.endpointId());
        check(3, gone == null || now <= gone + set.limits().drainGraceTicks(), "sent to a draining machine");
        check(2, out.stream().noneMatch(o -> o.req.equals(s.requestId())), "two tries at once");
        Route route = set.routes().get(r.route());
        Sent first = mayHaveRun(s.requestId());
        check(2, first == null || route.idempotency() != Idempotency.NOT_IDEMPOTENT, "a non-retriable req ran twice");
        check(
                2,
                first == null
                        || route.idempotency() != Idempotency.DEDUPLICATED
                        || (now <= first.at + route.deduplicationWindowTicks()
                                && (route.deduplicationScope() == DeduplicationScope.ALL || first.zone == m.zone())),
                "a deduped req outside its group or window");
        if (onTrial(m.build())) {
            check(
                    5,
                    cap(m.build()) > 0 && exposureAllows(m.build(), r.route()),
                    "exposure over the cap of build " + m.build());
            int stage = told.containsKey(m.build()) ? told.get(m.build()).stage() : 0;
            check(
                    5,
                    stage >= set.rollout().guardedStages() || route.idempotency() == Idempotency.IDEMPOTENT,
                    "guarded stage");
        }
        check(
                5,
                r.partitionKey() == null || m.build() >= answeredBy.getOrDefault(r.partitionKey(), 0),
                "a one-way key went back");
        check(
                5,
                r.partitionKey() == null
                        || out.stream()
                                .noneMatch(o -> o.at < now
                                        && r.partitionKey().equals(keys.get(o.req))
                                        && ahead(o.build)
                                        && m.build() < o.build),
                "a one-way key went back while a later build may have answered it");
        Sent sent = new Sent(
                s.requestId(),
                tries.get(s.requestId()).size(),
                s.endpointId(),
                m.build(),
                m.zone(),
                now,
                silent != null && silent.nextInt(10) == 0
                        ? Long.MAX_VALUE
                        : now + Math.min(s.timeoutTicks(), r.deadlineTicks() - now));
        tries.get(s.requestId()).add(sent);
        out.add(sent);
        all.add(sent);
    }
}
