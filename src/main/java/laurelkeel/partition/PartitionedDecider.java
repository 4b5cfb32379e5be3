package laurelkeel.partition;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.zip.CRC32;
import laurelkeel.api.Action;
import laurelkeel.api.Action.Verdict;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Event.RolloutUpdate;
import laurelkeel.api.LoadReport;
import laurelkeel.api.Settings;

/**
 * Several releases on trial behind one front. Each has a decider of its own, made as a front's only one is made, and a
 * lane of the reqs: cut by a hash of the key that knows no build, by chance where there is none, and never changed for
 * a key that a release's build has answered while that release stands. A decider sees the machines of its release and
 * those of the build that serves beside it, as if no other release were there; so each keeps its release within its
 * cap, its window, its guarded stages and its one-way keys by itself. To machines the lanes are so many fronts.
 *
 * <p>With one release all events pass to the one decider and all its actions come back as they are.
 */
public final class PartitionedDecider implements Decider {
    /** Releases on trial at once; a further one gets no reqs until one of them ends. */
    public static final int MAX_ROLLOUTS = 3;

    private static final int MOST_KEYS = 600_000;
    /** A build that may have all serves beside later releases once it is so many times the one before it. */
    private static final double GROWN = 2;
    /** How long, in tenths of a millisecond, others' blame keeps a vote to send back from being cast. */
    private static final long DOUBT = 150_000;

    /** What is held against one release from outside, as the release line pools it. */
    public enum Attribution {
        NONE,
        GUILTY,
        CLEARED,
        OPEN,
        SET_ASIDE
    }

    /** One req, until it is answered and its tries have ended. */
    private static final class Held {
        final TrafficPartition lane;
        final String key;
        final int route;
        boolean answered;
        /** Tries that went on, and tries that were kept back here: its decider counts both. */
        int out, sent, keptBack, build = -1;

        Held(TrafficPartition lane, String key, int route) {
            this.lane = lane;
            this.key = key;
            this.route = route;
        }
    }

    /** The lane of a key and the latest build that answered it there. */
    private record Kept(int lane, int build) {}

    private final Settings set;
    private final Factory maker;
    private final long seed;
    private final byte[] salt;
    private long draws;
    private long now;

    /** The first one leads: it follows the list for all. */
    private final List<TrafficPartition> lanes = new ArrayList<>();

    private final TreeMap<Integer, ReleaseState> releases = new TreeMap<>();
    private final Map<Integer, Attribution> attribute = new HashMap<>();
    private final Map<Integer, Long> doubtedSince = new HashMap<>();
    private final Map<Integer, Long> votedBack = new HashMap<>();
    private final Map<String, EndpointEntry> list = new LinkedHashMap<>();
    private final Map<String, Held> held = new HashMap<>();
    /** Keys that a build on trial has answered, and in which lane: they are never cut anew while that is open. */
    private final Map<String, Kept> laneOfKey = new HashMap<>();
    /** Tries out at builds that bind their keys, in whichever lane. */
    private final InFlightAttempts triesOut = new InFlightAttempts();
    /** A build on trial that has taken over for a lane which is gone: nobody goes below it any more. */
    private int least = -1;

    private final AcceptedRequestWindow all;
    /** Tries at each build on trial, whichever lane's: it may serve beside others, whose deciders do not bound it. */
    private final Map<Integer, AcceptedRequestWindow> tries = new HashMap<>();

    private boolean keptBack;
    private int nextLane, complaints;
    private int released = -1;
    private boolean recut;
    private final List<Action> out = new ArrayList<>();

    /** @param maker makes the decider of one lane; lane 0 gets the front's own seed */
    public PartitionedDecider(Settings set, long seed, Factory maker) {
        this.set = set;
        this.maker = maker;
        this.seed = seed;
        this.salt = ("lanes/" + seed).getBytes(StandardCharsets.US_ASCII);
        this.all = taken(false);
        lanes.add(new TrafficPartition(nextLane, -1, maker.create(set, seed), taken(false)));
        nextLane++;
    }

    private AcceptedRequestWindow taken(boolean tries) {
        return new AcceptedRequestWindow(
                set.routes().size(),
                set.rollout().exposureWindowTicks(),
                set.rollout().exposurePerRoute(),
                tries);
    }

    /** How many lanes take reqs. */
    public int openPartitions() {
        return (int) lanes.stream().filter(l -> !l.closing).count();
    }

    /** How many keys are kept to their lanes. */
    int rememberedKeys() {
        return laneOfKey.size();
    }

    /** What others hold against a release; it counts from the next decisions on. */
    public void attribute(int build, Attribution b) {
        attribute.put(build, b);
    }

    @Override
    public List<Action> decide(long moment, List<Event> events) {
        now = moment;
        out.clear();
        for (Event e : events) {
            learn(e);
        }
        if (recut) {
            recut = false;
            cut();
        }
        blamed();
        for (int i = 0; i < lanes.size(); i++) {
            TrafficPartition lane = lanes.get(i);
            if (lane.events.isEmpty() && lanes.size() > 1) {
                continue;
            }
            capFor(lane);
            do {
                keptBack = false;
                for (Action a : lane.decider.decide(now, lane.turn())) {
                    act(lane, a);
                }
                // a req whose try was kept back is placed anew or answered at once
            } while (keptBack);
        }
        lanes.removeIf(l -> l.closing && l.held == 0 && lanes.size() > 1);
        return List.copyOf(out);
    }

    // ---- events

    private void learn(Event e) {
        if (e instanceof Event.RequestReceived r) {
            take(r);
        } else if (e instanceof Event.AttemptEnded t) {
            ended(t);
        } else if (e instanceof Event.ResponseStarted b) {
            Held h = held.get(b.requestId());
            toHolder(b.requestId(), h == null ? e : new Event.ResponseStarted(b.requestId(), b.attempt() + h.keptBack));
        } else if (e instanceof Event.ClientDisconnected c) {
            toHolder(c.requestId(), e);
            over(c.requestId());
        } else if (e instanceof Event.TimerFired t) {
            for (TrafficPartition l : lanes) {
                if (l.id == t.timerId()) {
                    l.events.add(new Event.TimerFired(0));
                }
            }
        } else if (e instanceof Event.EndpointListUpdate l) {
            listed(l);
        } else if (e instanceof RolloutUpdate n) {
            news(n);
        } else if (e instanceof Event.ComplaintReceived c) {
            complained(c);
        } else if (e instanceof Event.HealthCheckEnded p) {
            lanes.stream()
                    .filter(l -> lanes.size() == 1 || l.shown.contains(p.endpointId()))
                    .forEach(l -> l.events.add(e));
        } else if (e instanceof Event.BuildStatistics c) {
            lanes.stream()
                    .filter(l -> l.build < 0 || l.build == c.build() || l.floor == c.build())
                    .forEach(l -> l.events.add(e));
        } else {
            lanes.forEach(l -> l.events.add(e));
        }
    }

    private void toHolder(String req, Event e) {
        Held h = held.get(req);
        (h == null ? lanes.get(0) : h.lane).events.add(e);
    }

    private void take(Event.RequestReceived r) {
        TrafficPartition lane = laneOf(r.partitionKey());
        all.add(r.route(), now);
        held.put(r.requestId(), new Held(lane, r.partitionKey(), r.route()));
        lane.held++;
        lane.taken.add(r.route(), now);
        lane.events.add(r);
    }

    /** A key stays with the release that answered it; others are cut evenly, by a hash that knows no build. */
    private TrafficPartition laneOf(String key) {
        if (lanes.size() == 1) {
            return lanes.get(0);
        }
        Kept by = key == null ? null : laneOfKey.get(key);
        if (by != null) {
            for (TrafficPartition l : lanes) {
                if (!l.closing && l.id == by.lane) {
                    return l;
                }
            }
        }
        int n = openPartitions();
        int at = (int) Math.min(n - 1, n * (key == null ? chance() : fraction(key)));
        for (TrafficPartition l : lanes) {
            if (!l.closing && at-- == 0) {
                return l;
            }
        }
        return lanes.get(0);
    }

    private double fraction(String key) {
        CRC32 crc = new CRC32();
        // a word of its own before the key: no release's slice of keys decides the lane
        crc.update("lane of ".getBytes(StandardCharsets.US_ASCII));
        crc.update(key.getBytes(StandardCharsets.UTF_8));
        return mixed(crc.getValue());
    }

    private double chance() {
        CRC32 crc = new CRC32();
        crc.update(salt);
        crc.update(Long.toString(draws++).getBytes(StandardCharsets.US_ASCII));
        return mixed(crc.getValue());
    }

    private static double mixed(long crc) {
        // CRC32 is linear: unmixed, the lanes would cut through every slice in the same way
        long h = (crc + 0x632BE59BD9B4E019L) * 0x9E3779B97F4A7C15L;
        h = (h ^ h >>> 32) * 0xD6E8FEB86659FD93L;
        return ((h ^ h >>> 29) >>> 11) * 0x1.0p-53;
    }

    private void ended(Event.AttemptEnded t) {
        Held h = held.get(t.requestId());
        if (h == null) {
            toHolder(t.requestId(), t);
            return;
        }
        toHolder(
                t.requestId(),
                h.keptBack == 0
                        ? t
                        : new Event.AttemptEnded(
                                t.requestId(),
                                t.attempt() + h.keptBack,
                                t.endpointId(),
                                t.outcome(),
                                t.durationTicks(),
                                t.requestEnded(),
                                t.loadReport()));
        h.out--;
        h.answered |= t.outcome() == AttemptOutcome.COMPLETED || t.requestEnded();
        if (h.key != null) {
            triesOut.ended(h.key, h.build);
        }
        if (t.outcome().mayHaveServed() && binds(h.key, h.build) && laneOfKey.size() < MOST_KEYS) {
            // an answer under way while lanes were cut anew may come late, from an earlier build
            laneOfKey.merge(h.key, new Kept(h.lane.id, h.build), (was, is) -> was.build > is.build ? was : is);
        }
        forget(t.requestId(), h);
    }

    /** An answer of that build keeps the key, where there is one, from earlier builds. */
    private boolean binds(String key, int build) {
        return key != null && set.rollout().stickyKeys() && stands(build);
    }

    private void forget(String req, Held h) {
        if (h.answered && h.out <= 0) {
            held.remove(req);
            h.lane.held--;
        }
    }

    private void complained(Event.ComplaintReceived c) {
        if (lanes.size() == 1) {
            lanes.get(0).events.add(c);
            return;
        }
        List<TrafficPartition> shown = lanes.stream()
                .filter(l -> !l.closing && l.shown.contains(c.endpointId()))
                .toList();
        if (!shown.isEmpty()) {
            // of a shared machine none can tell whose answer it was: each lane has its turn
            shown.get(complaints++ % shown.size()).events.add(c);
        }
    }

    // ---- the list, and what of it each lane sees

    private void listed(Event.EndpointListUpdate l) {
        if (l.kind() == EndpointListKind.SNAPSHOT || l.kind() == EndpointListKind.CACHED) {
            Set<String> named = new HashSet<>();
            l.entries().forEach(m -> named.add(m.endpointId()));
            list.keySet().retainAll(named);
        }
        for (EndpointEntry m : l.entries()) {
            if (m.state() == EndpointState.REMOVED) {
                list.remove(m.endpointId());
            } else {
                list.put(m.endpointId(), m);
            }
        }
        recut |= cutNow();
        for (TrafficPartition lane : lanes) {
            if (!cutNow() && seesAll(lane)) {
                lane.events.add(l);
                l.entries().forEach(m -> lane.shown.add(m.endpointId()));
                continue;
            }
            List<EndpointEntry> seen = new ArrayList<>();
            for (EndpointEntry m : l.entries()) {
                if (sees(lane, m)) {
                    lane.shown.add(m.endpointId());
                    seen.add(m);
                } else if (lane.shown.remove(m.endpointId())) {
                    // started anew with a build that is not this lane's: to its decider it is gone
                    seen.add(new EndpointEntry(
                            m.endpointId(),
                            m.build(),
                            m.zone(),
                            m.cell(),
                            m.kind(),
                            m.weight(),
                            EndpointState.REMOVED,
                            m.startedAtTicks()));
                }
            }
            lane.events.add(new Event.EndpointListUpdate(l.kind(), seen));
        }
    }

    /** Whether any lane sees but a part: one that is alone may still be kept from going below what answered. */
    private boolean cutNow() {
        return lanes.size() > 1 || lanes.get(0).floor >= 0;
    }

    private boolean sees(TrafficPartition lane, EndpointEntry m) {
        ReleaseState r = releases.get(m.build());
        // its decider was never told of releases that had lanes of their own: those sent back must not pass for a base
        boolean any = lane.floor < 0 && (r == null || !r.sentBack() || lane.back.contains(m.build()));
        return any || m.build() == lane.build || m.build() == lane.floor;
    }

    private boolean seesAll(TrafficPartition lane) {
        return releases.values().stream().noneMatch(r -> r.sentBack() && !lane.back.contains(r.build()));
    }

    private double size(int build) {
        return list.values().stream()
                .filter(m -> m.build() == build && m.state() == EndpointState.ACTIVE)
                .mapToDouble(EndpointEntry::weight)
                .sum();
    }

    /** What serves beside a lane's release: the released build, or a trial that may have all and has grown past it. */
    private int floorFor(int build) {
        int floor = released;
        if (floor < 0) {
            // no news of a released build yet: the largest that no news puts on trial
            double most = 0;
            Map<Integer, Double> sizes = new TreeMap<>();
            list.values().stream()
                    .filter(m -> m.state() == EndpointState.ACTIVE)
                    .forEach(m -> sizes.merge(m.build(), m.weight(), Double::sum));
            for (var e : sizes.entrySet()) {
                if (!releases.containsKey(e.getKey()) && e.getValue() > most) {
                    most = e.getValue();
                    floor = e.getKey();
                }
            }
        }
        double before = size(floor);
        for (ReleaseState r : releases.values()) {
            boolean whole =
                    r.onTrial() && r.cap() >= 1 && r.stage() >= set.rollout().guardedStages();
            if (whole && r.build() < build && r.build() > floor && size(r.build()) >= GROWN * before) {
                floor = r.build();
            }
        }
        // never below a build that has answered for a lane which is gone
        return Math.max(floor, least);
    }

    // ---- news

    private void news(RolloutUpdate n) {
        if (n.answersVote() && n.status() != ControlStatus.OK) {
            // a refusal says nothing but whose vote it was, where it says that
            lanes.stream()
                    .filter(l -> lanes.size() == 1 || n.build() == 0 || l.build == n.build())
                    .forEach(l -> l.events.add(n));
            return;
        }
        ReleaseState now = ReleaseState.of(n);
        ReleaseState before = releases.put(n.build(), now);
        if (n.phase() == RolloutPhase.RELEASED && n.build() > released) {
            released = n.build();
            releases.keySet().removeIf(b -> b < released);
            least = least <= released ? -1 : least;
        }
        if (!now.onTrial()) {
            least = least == n.build() ? -1 : least;
            attribute.remove(n.build());
            doubtedSince.remove(n.build());
            votedBack.remove(n.build());
        }
        TrafficPartition lane = laneFor(n.build());
        if (lane == null && now.onTrial()) {
            lane = openLane(n);
        }
        for (TrafficPartition l : lanes) {
            // a later build's release ends all that is below it
            boolean ends = n.phase() == RolloutPhase.RELEASED && l.build < n.build();
            if (l == lane || ends) {
                l.toldCap = Double.NaN;
                l.events.add(n);
                if (now.sentBack() && n.build() >= l.build) {
                    l.back.add(n.build());
                }
                // of a build before its own it was told for nothing: it passes that over
                l.knows = n.phase() == RolloutPhase.RELEASED && n.build() >= l.build
                        ? Math.max(l.knows, n.build())
                        : l.knows;
            }
        }
        if (lane != null) {
            lane.build = Math.max(lane.build, n.build());
        }
        recut |= cutNow() && !now.equals(before);
        if (!now.onTrial() && !now.equals(before)) {
            // or the keys of releases long over would leave no room for those of one that stands
            laneOfKey.values().removeIf(k -> !stands(k.build));
            tries.keySet().removeIf(b -> !stands(b));
        }
        closeEnded();
    }

    /** A lane whose release has ended takes no more reqs; the last one stays, for all builds. */
    private void closeEnded() {
        if (lanes.size() == 1) {
            return;
        }
        for (TrafficPartition l : lanes) {
            ReleaseState own = releases.get(l.build);
            boolean over = own == null || !own.onTrial();
            if (over && !l.closing && openPartitions() > 1) {
                l.closing = true;
                recut = true;
                ReleaseState floor = releases.get(l.floor);
                if (l.floor != l.build && floor != null && floor.onTrial()) {
                    least = Math.max(least, l.floor);
                }
            }
        }
    }

    /** Whether a key that this build has answered may go to no earlier one. */
    private boolean stands(int build) {
        ReleaseState r = releases.get(build);
        return build > released && (r == null || !r.sentBack());
    }

    private TrafficPartition laneFor(int build) {
        for (TrafficPartition l : lanes) {
            if (l.build == build) {
                return l;
            }
        }
        TrafficPartition only = lanes.get(0);
        ReleaseState has = releases.get(only.build);
        boolean free = lanes.size() == 1 && (only.build < 0 || has == null || !has.onTrial() || build < only.build);
        // a front's only decider, whose business all news is
        return free ? only : null;
    }

    private TrafficPartition openLane(RolloutUpdate n) {
        if (n.build() <= released || openPartitions() >= MAX_ROLLOUTS) {
            return null;
        }
        TrafficPartition lane =
                new TrafficPartition(nextLane, n.build(), maker.create(set, seed * 31 + nextLane), taken(false));
        nextLane++;
        lanes.add(lane);
        closeEnded();
        lane.floor = floorFor(n.build());
        if (lane.floor >= 0) {
            lane.events.add(new RolloutUpdate(ControlStatus.OK, 0, 1, 0, RolloutPhase.RELEASED, lane.floor, false));
            lane.knows = lane.floor;
        }
        show(lane);
        recut = true;
        return lane;
    }

    /** Shows a lane all that it may see, and nothing else. */
    private void show(TrafficPartition lane) {
        List<EndpointEntry> seen =
                list.values().stream().filter(m -> sees(lane, m)).toList();
        lane.shown.clear();
        seen.forEach(m -> lane.shown.add(m.endpointId()));
        // remembered: no news of the list itself, only of what of it is the lane's
        lane.events.add(new Event.EndpointListUpdate(EndpointListKind.CACHED, seen));
    }

    /** After a change of releases or machines: what serves beside each, and what each sees. */
    private void cut() {
        boolean alone = openPartitions() == 1;
        for (TrafficPartition lane : lanes) {
            // a decider passes over news of builds before its own: what was released since stays its floor
            boolean whole = alone && !lane.closing && lane.knows >= released && least < 0;
            int floor = whole ? -1 : floorFor(lane.build);
            ReleaseState was = releases.get(lane.floor);
            // what has answered for a lane is left for a later build only, while it stands
            floor = was != null && was.onTrial() && !whole ? Math.max(floor, lane.floor) : floor;
            if (floor != lane.floor) {
                lane.floor = floor;
                show(lane);
            }
        }
    }

    /** The cap as the lane's decider must hear it, so that cap x all reqs is what it keeps to. */
    private void capFor(TrafficPartition lane) {
        ReleaseState r = releases.get(lane.build);
        if (r == null || !r.onTrial()) {
            return;
        }
        double cap = lanes.size() == 1
                ? r.cap()
                : Math.min(1, r.cap() * AcceptedRequestWindow.times(all, lane.taken, now, openPartitions()));
        boolean told = !Double.isNaN(lane.toldCap);
        if (told ? cap != lane.toldCap : cap != r.cap()) {
            lane.events.add(new RolloutUpdate(ControlStatus.OK, r.stage(), cap, 0, r.phase(), r.build(), false));
        }
        lane.toldCap = cap;
    }

    // ---- actions

    private void act(TrafficPartition lane, Action a) {
        if (a instanceof Action.SendAttempt s) {
            send(lane, s);
        } else if (a instanceof Action.RejectRequest s) {
            over(s.requestId());
            out.add(a);
        } else if (a instanceof Action.FailRequest s) {
            over(s.requestId());
            out.add(a);
        } else if (a instanceof Action.CancelAttempt s) {
            Held h = held.get(s.requestId());
            out.add(h == null ? a : new Action.CancelAttempt(s.requestId(), s.attempt() - h.keptBack));
        } else if (a instanceof Action.StartTimer t) {
            out.add(new Action.StartTimer(t.dueAtTicks(), lane.id));
        } else if (a instanceof Action.CastVote v) {
            vote(lane, v);
        } else if (a instanceof Action.WatchEndpoints || a instanceof Action.FetchEndpoints) {
            if (lane == lanes.get(0)) {
                out.add(a);
            }
        } else if (a instanceof Action.WriteLog l) {
            out.add(lanes.size() == 1 ? l : new Action.WriteLog("lane " + lane.id + ": " + l.message()));
        } else {
            out.add(a);
        }
    }

    /** Passes a try on, or keeps it back: its decider hears that it was not sent, and places the req anew or answers it. */
    private void send(TrafficPartition lane, Action.SendAttempt s) {
        Held h = held.get(s.requestId());
        EndpointEntry to = list.get(s.endpointId());
        int build = to == null ? -1 : to.build();
        if (h != null && (wentAhead(h, lane, build) || overCap(h, build))) {
            lane.events.add(new Event.AttemptEnded(
                    s.requestId(),
                    h.sent + h.keptBack,
                    s.endpointId(),
                    AttemptOutcome.NOT_SENT,
                    0,
                    h.answered,
                    LoadReport.NONE));
            h.keptBack++;
            keptBack = true;
            return;
        }
        if (h != null) {
            h.out++;
            h.sent++;
            h.build = build;
            if (binds(h.key, build)) {
                triesOut.sent(h.key, build);
            }
        }
        out.add(s);
    }

    /**
     * A later build has answered its key in a lane that is gone, or while lanes were cut anew, or may have: this decider
     * knows of none.
     */
    private boolean wentAhead(Held h, TrafficPartition lane, int build) {
        if (h.key == null || !set.rollout().stickyKeys()) {
            return false;
        }
        Kept by = laneOfKey.get(h.key);
        boolean answered = by != null && by.lane != lane.id && build < by.build && stands(by.build);
        // a try that is out may have been answered already, and that not been read
        return answered || (lanes.size() > 1 && build < triesOut.latest(h.key, this::stands));
    }

    /**
     * The tries of all lanes at a build on trial, also ahead of its news. Each decider keeps a bound for its own, but one
     * beside which the build serves knows of none, and one made for it knows nothing of what another lane sent before.
     */
    private boolean overCap(Held h, int build) {
        ReleaseState r = releases.get(build);
        boolean ahead = r == null && !releases.isEmpty() && build > releases.lastKey();
        if (!ahead && (r == null || !r.onTrial())) {
            return false;
        }
        double cap = ahead ? set.rollout().stageExposureCaps().get(0) : r.cap();
        AcceptedRequestWindow sent = tries.computeIfAbsent(build, k -> taken(true));
        if (lanes.size() > 1
                && sent.of(h.route, now) + 1 > set.rollout().exposureAllowance() + cap * all.of(h.route, now)) {
            return true;
        }
        sent.add(h.route, now);
        return false;
    }

    private void over(String req) {
        Held h = held.get(req);
        if (h != null) {
            h.answered = true;
            forget(req, h);
        }
    }

    /** A lane's decider compares its release with the build beside it; among several the blame has a word too. */
    private void vote(TrafficPartition lane, Action.CastVote v) {
        if (openPartitions() == 1) {
            out.add(v);
            return;
        }
        Attribution own = attribute.getOrDefault(v.build(), Attribution.NONE);
        boolean otherGuilty = attribute.entrySet().stream()
                .anyMatch(e -> e.getKey() != v.build() && e.getValue() == Attribution.GUILTY);
        boolean open = attribute.containsValue(Attribution.OPEN);
        if (v.verdict() == Verdict.PROMOTE && (open || otherGuilty || own == Attribution.GUILTY)) {
            refuse(lane, v, "holds while blame is open");
        } else if (v.verdict() == Verdict.ROLL_BACK
                && own != Attribution.GUILTY
                && (otherGuilty || own == Attribution.CLEARED || open)
                && now < doubtedSince.computeIfAbsent(v.build(), b -> now) + DOUBT) {
            refuse(lane, v, "blame does not fall on it");
        } else {
            out.add(v);
        }
    }

    /** The decider asks again; an answer that counts for nothing comes with its next events. */
    private void refuse(TrafficPartition lane, Action.CastVote v, String why) {
        lane.events.add(new RolloutUpdate(ControlStatus.STALE, 0, 0, 0, RolloutPhase.CANARY, 0, true));
        out.add(new Action.WriteLog(
                "build " + v.build() + " stage " + v.stage() + " " + v.verdict() + " not voted: " + why));
    }

    /** The guilty one is voted back whatever its own lane has seen, as long as it is on trial. */
    private void blamed() {
        attribute.forEach((build, b) -> {
            ReleaseState r = releases.get(build);
            Long at = votedBack.get(build);
            if ((b == Attribution.GUILTY || b == Attribution.SET_ASIDE)
                    && r != null
                    && r.onTrial()
                    && (at == null || now >= at + set.rollout().voteLifetimeTicks() * 6 / 10)) {
                votedBack.put(build, now);
                out.add(new Action.CastVote(build, r.stage(), Verdict.ROLL_BACK));
                if (at == null) {
                    out.add(new Action.WriteLog("votes back on build " + build
                            + (b == Attribution.GUILTY
                                    ? ": blame falls on it"
                                    : ": set aside, to tell whether the harm ends with it")));
                }
            }
        });
    }
}
