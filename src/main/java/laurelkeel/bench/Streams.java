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
import laurelkeel.api.Event.Listed;
import laurelkeel.api.Event.MachineState;
import laurelkeel.api.Event.Outcome;
import laurelkeel.api.Event.Phase;
import laurelkeel.api.Settings;
import laurelkeel.api.Settings.Effect;
import laurelkeel.api.Settings.Group;
import laurelkeel.api.Settings.Route;

/**
 * A generated world for one decider: reqs, outcomes, lists, rollouts and troubles from one seed, answered by a plain
 * model of machines. The same seed and the same actions give the same stream; every action goes into a checksum, so
 * that two versions of a decider can be held against each other.
 */
public final class Streams {
    private static final long MS = 10;
    private static final long SECOND = 10_000;

    private record Out(String req, int no, String machine, Outcome outcome, long sentAt) {}

    private record Due(long at, long order, Runnable what) {}

    private final SplittableRandom random;
    private final Decider decider;
    private final Settings set;
    private final PriorityQueue<Due> due =
            new PriorityQueue<>(java.util.Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
    private final Map<String, Listed> machines = new java.util.LinkedHashMap<>();
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
    private Phase phase = Phase.RELEASED;
    private double badness;

    /** @param reqsPerSecond of this one front */
    public Streams(Decider.Maker maker, long seed, int machineCount, double reqsPerSecond, boolean perRoute) {
        random = new SplittableRandom(seed);
        scale = machineCount;
        gap = SECOND / reqsPerSecond;
        set = settings(perRoute);
        decider = maker.make(set, seed);
        List<Listed> first = new ArrayList<>();
        for (int i = 0; i < machineCount; i++) {
            Listed m = new Listed(
                    "10.0." + i / 250 + "." + i % 250 + ":80",
                    1,
                    i % 3,
                    i % 3,
                    0,
                    0.8 + random.nextDouble() / 2,
                    MachineState.LIVE,
                    0);
            machines.put(m.machine(), m);
            first.add(m);
        }
        next.add(new Event.MachineList(Event.ListKind.REMEMBERED, first));
        next.add(news());
        at(now + 1, this::arrival);
    }

    private static Settings settings(boolean perRoute) {
        List<Route> routes = List.of(
                new Route(Effect.RETRIABLE, Group.ALL, 800 * MS, 2500 * MS, 2, 0, 0),
                new Route(Effect.DEDUPED, Group.ALL, SECOND, 4 * SECOND, 3, 0.2, 5 * SECOND),
                new Route(Effect.NON_RETRIABLE, Group.ALL, SECOND, 3 * SECOND, 1, 0, 0));
        return new Settings(
                0,
                4,
                0,
                routes,
                List.of(new Settings.Customer(500)),
                new Settings.Limits(SECOND, 5 * SECOND, 0.4, 2 * SECOND, 3, 10 * SECOND),
                new Settings.Allowed(4, true, false, true, true, SECOND, false),
                new Settings.Prices(0.05, 0.01, 0.01, 0.5, 3),
                new Settings.Rollout(
                        Settings.Control.COUNT,
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

    private Event.ReleaseNews news() {
        return new Event.ReleaseNews(Event.Answer.OK, stage, cap, 0, phase, build, false);
    }

    private void arrival() {
        at(now + (long) Math.max(1, -Math.log(1 - random.nextDouble()) * gap), this::arrival);
        String id = "r" + ids++;
        String key = random.nextInt(10) == 0 ? null : "k" + (int) (Math.pow(random.nextDouble(), 2) * 2000);
        int route = random.nextInt(3);
        long leaves = now + set.routes().get(route).timeout() * (40 + random.nextInt(61)) / 100;
        open.put(id, leaves);
        tries.put(id, 0);
        next.add(new Event.Req(id, route, 0, key, leaves, 0, random.nextInt(20) == 0));
        if (random.nextInt(50) == 0) {
            at(now + random.nextInt(3000), () -> {
                if (open.remove(id) != null) {
                    next.add(new Event.ClientLeft(id));
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

    private static String text(Action a) {
        return a instanceof Action.Tell t ? "tell " + t.to() : a.toString();
    }

    private void act(Action a) {
        if (a instanceof Action.Send s) {
            send(s);
        } else if (a instanceof Action.StopTry s) {
            Out o = out.getOrDefault(s.req(), Map.of()).get(s.tryNo());
            if (o != null) {
                end(o, Outcome.STOPPED);
            }
        } else if (a instanceof Action.Shed s) {
            open.remove(s.req());
        } else if (a instanceof Action.Err s) {
            open.remove(s.req());
        } else if (a instanceof Action.Timer t) {
            at(t.when(), () -> next.add(new Event.TimerDue(t.handle())));
        } else if (a instanceof Action.Vote v) {
            at(now + 30, () -> next.add(new Event.ReleaseNews(Event.Answer.OK, stage, cap, 0, phase, build, true)));
        }
    }

    private void send(Action.Send s) {
        int no = tries.merge(s.req(), 1, Integer::sum) - 1;
        Listed m = machines.get(s.machine());
        double roll = random.nextDouble();
        boolean bad = m != null && m.build() == build && badness > 0;
        Outcome o = m == null || m.state() == MachineState.GONE
                ? Outcome.NO_CONNECTION
                : bad && roll < badness
                        ? Outcome.ERROR
                        : roll > 0.995
                                ? Outcome.BROKEN
                                : roll > 0.985 ? Outcome.FULL : roll > 0.975 ? Outcome.TIMEOUT : Outcome.COMPLETED;
        long took = o == Outcome.FULL || o == Outcome.NO_CONNECTION
                ? 20
                : (long) ((60 + random.nextInt(120)) * MS * (bad ? 1.3 : 1));
        long limit = s.within() <= 0 ? Long.MAX_VALUE : s.within();
        if (o == Outcome.TIMEOUT || took > limit) {
            o = Outcome.TIMEOUT;
            took = Math.min(limit, open.getOrDefault(s.req(), now) - now);
        }
        Out sent = new Out(s.req(), no, s.machine(), o, now);
        out.computeIfAbsent(s.req(), k -> new HashMap<>()).put(no, sent);
        Outcome ends = o;
        at(now + Math.max(1, took), () -> end(sent, ends));
    }

    private void end(Out o, Outcome how) {
        Map<Integer, Out> of = out.get(o.req);
        if (of == null || of.remove(o.no) == null) {
            return;
        }
        boolean over = !open.containsKey(o.req);
        if (how == Outcome.COMPLETED) {
            open.remove(o.req);
            over = true;
        }
        Map<String, Double> load = random.nextInt(3) == 0 ? Map.of("concurrent", (double) random.nextInt(8)) : Map.of();
        next.add(new Event.TryEnded(o.req, o.no, o.machine, how, now - o.sentAt, over, load));
    }

    /** A rollout and the troubles beside it, over about 40 s. */
    public void script(boolean bad) {
        at(now + 3 * SECOND, () -> stage(2, 0, 0.1, Phase.TRIAL, bad ? 0.3 : 0, scale / 10 + 1));
        at(now + 12 * SECOND, () -> stage(2, 1, 0.4, Phase.TRIAL, bad ? 0.3 : 0, scale * 4 / 10));
        at(
                now + 20 * SECOND,
                () -> stage(2, bad ? 1 : 2, bad ? 0 : 1, bad ? Phase.GOING_BACK : Phase.TRIAL, 0, bad ? 0 : scale));
        at(now + 28 * SECOND, () -> stage(2, 2, bad ? 0 : 1, bad ? Phase.WITHDRAWN : Phase.RELEASED, 0, 0));
        for (int i = 0; i < 12; i++) {
            at(now + (2 + i * 3) * SECOND, () -> change(random.nextInt(4)));
        }
    }

    private void stage(int to, int at, double newCap, Phase as, double bad, int renewed) {
        build = to;
        stage = at;
        cap = newCap;
        phase = as;
        badness = bad;
        next.add(news());
        List<Listed> changes = new ArrayList<>();
        for (Listed m : List.copyOf(machines.values())) {
            if (changes.size() / 2 < renewed && m.build() < to && m.state() == MachineState.LIVE) {
                Listed fresh = new Listed(
                        "10.9." + ids / 250 % 250 + "." + ids++ % 250 + ":80",
                        to,
                        m.zone(),
                        m.cell(),
                        0,
                        m.size(),
                        MachineState.LIVE,
                        now);
                changes.add(fresh);
                changes.add(with(m, MachineState.DRAINING));
            }
        }
        changed(changes);
    }

    private static Listed with(Listed m, MachineState state) {
        return new Listed(m.machine(), m.build(), m.zone(), m.cell(), m.kind(), m.size(), state, m.started());
    }

    private void change(int what) {
        List<Listed> live = machines.values().stream()
                .filter(m -> m.state() == MachineState.LIVE)
                .toList();
        if (live.size() < 4) {
            return;
        }
        Listed m = live.get(random.nextInt(live.size()));
        switch (what) {
            case 0 -> changed(List.of(with(m, MachineState.GONE)));
            case 1 ->
                changed(List.of(
                        new Listed(m.machine(), m.build(), m.zone(), m.cell(), 0, m.size(), MachineState.LIVE, now)));
            case 2 -> next.add(new Event.Complaint(m.machine(), 500, random.nextInt(3)));
            default -> next.add(new Event.MachineList(Event.ListKind.FULL, List.copyOf(machines.values())));
        }
    }

    private void changed(List<Listed> changes) {
        changes.forEach(m -> machines.put(m.machine(), m));
        next.add(new Event.MachineList(Event.ListKind.CHANGES, List.copyOf(changes)));
    }

    /** What a decider does in one of the kept streams, 40 s each; sizes and rates follow from the seed. */
    public static String sum(Decider.Maker maker, int seed) {
        int i = seed - 100;
        Streams s = new Streams(
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
