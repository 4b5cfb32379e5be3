package laurelkeel.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.zip.CRC32;
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

/**
 * A generated world for one decider: reqs, outcomes, lists, rollouts and troubles from one seed, answered by a plain
 * model of machines. The same seed and the same actions give the same stream; every action goes into a checksum, so
 * that two versions of a decider can be held against each other.
 */
public final class DecisionStreams {
    private static final long MS = 10;
    private static final long SECOND = 10_000;

    /** Terms of log lines, and the words that the first checksums had for them. */
    private static final String[][] RECORDED_WORDS = {
        {" CANARY", " TRIAL"},
        {" ROLLING_BACK", " GOING_BACK"},
        {" ROLLED_BACK", " WITHDRAWN"},
        {"votes to roll back build", "votes back on build"},
        {"higher error rate on", "errors on"},
        {"higher complaint rate on", "complaints on"},
        {"on all routes", "on route 3"},
        {"all endpoints slowed down in", "slows all in"},
        {" s, latency ratio before", " seconds, before"},
        {"latency ratio", "slow"},
        {" answers, baseline", ", earlier"},
        {" answers", ""},
        {" over ", " of "}
    };

    private record Out(String req, int no, String machine, AttemptOutcome outcome, long sentAt) {}

    private record Due(long at, long order, Runnable what) {}

    private final SplittableRandom random;
    private final Decider decider;
    private final Settings set;
    private final PriorityQueue<Due> due =
            new PriorityQueue<>(java.util.Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
    private final Map<String, EndpointEntry> machines = new java.util.LinkedHashMap<>();
    private final Map<String, Integer> tries = new HashMap<>();
    private final Map<String, Map<Integer, Out>> out = new HashMap<>();
    private final Map<String, Long> open = new HashMap<>();
    private final CRC32 sum = new CRC32();
    private final double gap;
    private final int scale;
    private List<Event> next = new ArrayList<>();
    private long now = SECOND, order, ids, actions;
    private int build = 1, stage;
    private double cap = 1;
    private RolloutPhase phase = RolloutPhase.RELEASED;
    private double badness;

    /** @param reqsPerSecond of this one front */
    public DecisionStreams(Decider.Factory maker, long seed, int machineCount, double reqsPerSecond, boolean perRoute) {
        random = new SplittableRandom(seed);
        scale = machineCount;
        gap = SECOND / reqsPerSecond;
        set = settings(perRoute);
        decider = maker.create(set, seed);
        List<EndpointEntry> first = new ArrayList<>();
        for (int i = 0; i < machineCount; i++) {
            EndpointEntry m = new EndpointEntry(
                    "10.0." + i / 250 + "." + i % 250 + ":80",
                    1,
                    i % 3,
                    i % 3,
                    0,
                    0.8 + random.nextDouble() / 2,
                    EndpointState.ACTIVE,
                    0);
            machines.put(m.endpointId(), m);
            first.add(m);
        }
        next.add(new Event.EndpointListUpdate(Event.EndpointListKind.CACHED, first));
        next.add(news());
        at(now + 1, this::arrival);
    }

    private static Settings settings(boolean perRoute) {
        List<Route> routes = List.of(
                new Route(Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 800 * MS, 2500 * MS, 2, 0, 0),
                new Route(Idempotency.DEDUPLICATED, DeduplicationScope.ALL, SECOND, 4 * SECOND, 3, 0.2, 5 * SECOND),
                new Route(Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL, SECOND, 3 * SECOND, 1, 0, 0));
        return new Settings(
                0,
                4,
                0,
                routes,
                List.of(new Settings.Tenant(500)),
                new Settings.Limits(SECOND, 5 * SECOND, 0.4, 2 * SECOND, 3, 10 * SECOND),
                new Settings.Capabilities(4, true, false, true, true, SECOND, false),
                new Settings.Costs(0.05, 0.01, 0.01, 0.5, 3),
                new Settings.Rollout(
                        Settings.PromotionPolicy.VOTE_COUNT,
                        2,
                        2,
                        0,
                        6 * SECOND,
                        SECOND,
                        40,
                        List.of(0.1, 0.4, 1.0),
                        2 * SECOND,
                        0,
                        true,
                        4 * SECOND,
                        2,
                        perRoute,
                        0,
                        0.3),
                false);
    }

    private void at(long when, Runnable what) {
        due.add(new Due(Math.max(when, now + 1), order++, what));
    }

    private Event.RolloutUpdate news() {
        return new Event.RolloutUpdate(Event.ControlStatus.OK, stage, cap, 0, phase, build, false);
    }

    private void arrival() {
        at(now + (long) Math.max(1, -Math.log(1 - random.nextDouble()) * gap), this::arrival);
        String id = "r" + ids++;
        String key = random.nextInt(10) == 0 ? null : "k" + (int) (Math.pow(random.nextDouble(), 2) * 2000);
        int route = random.nextInt(3);
        long leaves = now + set.routes().get(route).timeoutTicks() * (40 + random.nextInt(61)) / 100;
        open.put(id, leaves);
        tries.put(id, 0);
        next.add(new Event.RequestReceived(id, route, 0, key, leaves, 0, random.nextInt(20) == 0));
        if (random.nextInt(50) == 0) {
            at(now + random.nextInt(3000), () -> {
                if (open.remove(id) != null) {
                    next.add(new Event.ClientDisconnected(id));
                }
            });
        }
    }

    /** Plays on to a moment after the start. */
    public void play(double seconds) {
        long end = now + (long) (seconds * SECOND);
        while (now < end) {
            while (!due.isEmpty() && due.peek().at <= now) {
                due.poll().what.run();
            }
            if (!next.isEmpty()) {
                List<Event> batch = next;
                next = new ArrayList<>();
                for (Action a : decider.decide(now, batch)) {
                    actions++;
                    sum.update((now + " " + text(a) + "\n").getBytes(java.nio.charset.StandardCharsets.UTF_8));
                    act(a);
                }
            }
            now = next.isEmpty() ? Math.max(now + 1, due.peek().at) : now + 1;
        }
    }

    /** An action in the form in which the first checksums took it, so that a rename keeps them comparable. */
    private static String text(Action a) {
        if (a instanceof Action.SendAttempt s) {
            return "Send[req=" + s.requestId() + ", machine=" + s.endpointId() + ", within=" + s.timeoutTicks() + "]";
        }
        if (a instanceof Action.CancelAttempt c) {
            return "StopTry[req=" + c.requestId() + ", tryNo=" + c.attempt() + "]";
        }
        if (a instanceof Action.RejectRequest r) {
            return "Shed[req=" + r.requestId() + ", retryAfter=" + r.retryAfterTicks() + "]";
        }
        if (a instanceof Action.FailRequest f) {
            return "Err[req=" + f.requestId() + "]";
        }
        if (a instanceof Action.StartTimer t) {
            return "Timer[when=" + t.dueAtTicks() + ", handle=" + t.timerId() + "]";
        }
        if (a instanceof Action.SendHealthCheck h) {
            return "Probe[machine=" + h.endpointId() + "]";
        }
        if (a instanceof Action.CloseIdleConnections c) {
            return "CloseIdle[machine=" + c.endpointId() + "]";
        }
        if (a instanceof Action.SendGossip g) {
            return "tell " + g.toNode();
        }
        if (a instanceof Action.WatchEndpoints w) {
            return "WatchList[on=" + w.enabled() + "]";
        }
        if (a instanceof Action.FetchEndpoints) {
            return "FetchList[]";
        }
        if (a instanceof Action.CastVote v) {
            return "Vote[build=" + v.build() + ", stage=" + v.stage() + ", verdict=" + text(v.verdict()) + "]";
        }
        if (a instanceof Action.WriteLog l) {
            return "Log[text=" + recordedWords(l.message()) + "]";
        }
        throw new IllegalStateException("an action with no recorded form: " + a);
    }

    private static String text(Action.Verdict verdict) {
        return switch (verdict) {
            case NONE -> "NONE";
            case PROMOTE -> "ON";
            case HOLD -> "HOLD";
            case ROLL_BACK -> "BACK";
        };
    }

    private static String recordedWords(String message) {
        String words = message;
        for (String[] pair : RECORDED_WORDS) {
            words = words.replace(pair[0], pair[1]);
        }
        return words;
    }

    private void act(Action a) {
        if (a instanceof Action.SendAttempt s) {
            send(s);
        } else if (a instanceof Action.CancelAttempt s) {
            Out o = out.getOrDefault(s.requestId(), Map.of()).get(s.attempt());
            if (o != null) {
                end(o, AttemptOutcome.CANCELLED);
            }
        } else if (a instanceof Action.RejectRequest s) {
            open.remove(s.requestId());
        } else if (a instanceof Action.FailRequest s) {
            open.remove(s.requestId());
        } else if (a instanceof Action.StartTimer t) {
            at(t.dueAtTicks(), () -> next.add(new Event.TimerFired(t.timerId())));
        } else if (a instanceof Action.CastVote v) {
            at(
                    now + 30,
                    () -> next.add(new Event.RolloutUpdate(Event.ControlStatus.OK, stage, cap, 0, phase, build, true)));
        }
    }

    private void send(Action.SendAttempt s) {
        int no = tries.merge(s.requestId(), 1, Integer::sum) - 1;
        EndpointEntry m = machines.get(s.endpointId());
        double roll = random.nextDouble();
        boolean bad = m != null && m.build() == build && badness > 0;
        AttemptOutcome o = m == null || m.state() == EndpointState.REMOVED
                ? AttemptOutcome.CONNECT_FAILED
                : bad && roll < badness
                        ? AttemptOutcome.FAILED
                        : roll > 0.995
                                ? AttemptOutcome.CONNECTION_LOST
                                : roll > 0.985
                                        ? AttemptOutcome.OVERLOADED
                                        : roll > 0.975 ? AttemptOutcome.TIMED_OUT : AttemptOutcome.COMPLETED;
        long took = o == AttemptOutcome.OVERLOADED || o == AttemptOutcome.CONNECT_FAILED
                ? 20
                : (long) ((60 + random.nextInt(120)) * MS * (bad ? 1.3 : 1));
        long limit = s.timeoutTicks() <= 0 ? Long.MAX_VALUE : s.timeoutTicks();
        if (o == AttemptOutcome.TIMED_OUT || took > limit) {
            o = AttemptOutcome.TIMED_OUT;
            took = Math.min(limit, open.getOrDefault(s.requestId(), now) - now);
        }
        Out sent = new Out(s.requestId(), no, s.endpointId(), o, now);
        out.computeIfAbsent(s.requestId(), k -> new HashMap<>()).put(no, sent);
        AttemptOutcome ends = o;
        at(now + Math.max(1, took), () -> end(sent, ends));
    }

    private void end(Out o, AttemptOutcome how) {
        Map<Integer, Out> of = out.get(o.req);
        if (of == null || of.remove(o.no) == null) {
            return;
        }
        boolean over = !open.containsKey(o.req);
        if (how == AttemptOutcome.COMPLETED) {
            open.remove(o.req);
            over = true;
        }
        LoadReport load = random.nextInt(3) == 0
                ? new LoadReport(Map.of("concurrent", (double) random.nextInt(8)))
                : LoadReport.NONE;
        next.add(new Event.AttemptEnded(o.req, o.no, o.machine, how, now - o.sentAt, over, load));
    }

    /** A rollout and the troubles beside it, over about 40 s. */
    public void script(boolean bad) {
        at(now + 3 * SECOND, () -> stage(2, 0, 0.1, RolloutPhase.CANARY, bad ? 0.3 : 0, scale / 10 + 1));
        at(now + 12 * SECOND, () -> stage(2, 1, 0.4, RolloutPhase.CANARY, bad ? 0.3 : 0, scale * 4 / 10));
        at(
                now + 20 * SECOND,
                () -> stage(
                        2,
                        bad ? 1 : 2,
                        bad ? 0 : 1,
                        bad ? RolloutPhase.ROLLING_BACK : RolloutPhase.CANARY,
                        0,
                        bad ? 0 : scale));
        at(
                now + 28 * SECOND,
                () -> stage(2, 2, bad ? 0 : 1, bad ? RolloutPhase.ROLLED_BACK : RolloutPhase.RELEASED, 0, 0));
        for (int i = 0; i < 12; i++) {
            at(now + (2 + i * 3) * SECOND, () -> change(random.nextInt(4)));
        }
    }

    private void stage(int to, int at, double newCap, RolloutPhase as, double bad, int renewed) {
        build = to;
        stage = at;
        cap = newCap;
        phase = as;
        badness = bad;
        next.add(news());
        List<EndpointEntry> changes = new ArrayList<>();
        for (EndpointEntry m : List.copyOf(machines.values())) {
            if (changes.size() / 2 < renewed && m.build() < to && m.state() == EndpointState.ACTIVE) {
                EndpointEntry fresh = new EndpointEntry(
                        "10.9." + ids / 250 % 250 + "." + ids++ % 250 + ":80",
                        to,
                        m.zone(),
                        m.cell(),
                        0,
                        m.weight(),
                        EndpointState.ACTIVE,
                        now);
                changes.add(fresh);
                changes.add(with(m, EndpointState.DRAINING));
            }
        }
        changed(changes);
    }

    private static EndpointEntry with(EndpointEntry m, EndpointState state) {
        return new EndpointEntry(
                m.endpointId(), m.build(), m.zone(), m.cell(), m.kind(), m.weight(), state, m.startedAtTicks());
    }

    private void change(int what) {
        List<EndpointEntry> live = machines.values().stream()
                .filter(m -> m.state() == EndpointState.ACTIVE)
                .toList();
        if (live.size() < 4) {
            return;
        }
        EndpointEntry m = live.get(random.nextInt(live.size()));
        switch (what) {
            case 0 -> changed(List.of(with(m, EndpointState.REMOVED)));
            case 1 ->
                changed(List.of(new EndpointEntry(
                        m.endpointId(), m.build(), m.zone(), m.cell(), 0, m.weight(), EndpointState.ACTIVE, now)));
            case 2 -> next.add(new Event.ComplaintReceived(m.endpointId(), 500, random.nextInt(3)));
            default ->
                next.add(new Event.EndpointListUpdate(Event.EndpointListKind.SNAPSHOT, List.copyOf(machines.values())));
        }
    }

    private void changed(List<EndpointEntry> changes) {
        changes.forEach(m -> machines.put(m.endpointId(), m));
        next.add(new Event.EndpointListUpdate(Event.EndpointListKind.DELTA, List.copyOf(changes)));
    }

    /** What a decider does in one of the kept streams, 40 s each; sizes and rates follow from the seed. */
    public static String sum(Decider.Factory maker, int seed) {
        int i = seed - 100;
        DecisionStreams s = new DecisionStreams(
                maker, seed, new int[] {5, 10, 40, 300}[Math.floorMod(i, 4)], i % 3 == 0 ? 20 : 150, i % 2 == 0);
        s.script(Math.floorMod(i, 4) < 2);
        s.play(40);
        return s.checksum();
    }

    /** Of every action so far, with its moment. */
    public String checksum() {
        return actions + " actions " + Long.toHexString(sum.getValue());
    }

    public long reqs() {
        return ids;
    }
}
