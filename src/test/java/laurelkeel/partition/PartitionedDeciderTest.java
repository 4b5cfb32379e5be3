package laurelkeel.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import laurelkeel.api.Action;
import laurelkeel.api.Action.Verdict;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.LoadReport;
import laurelkeel.api.Settings;
import laurelkeel.api.Settings.DeduplicationScope;
import laurelkeel.api.Settings.Idempotency;
import laurelkeel.bench.DecisionStreams;
import laurelkeel.decision.RoutingDecider;
import org.junit.jupiter.api.Test;

/** Days of several releases behind one front, each rule checked at every send for every release. */
class PartitionedDeciderTest {
    private static final long MS = 10, SECOND = 10_000;
    private static final double FREE = 2;
    private static final long WINDOW = 4 * SECOND;

    private static Settings settings(boolean perRoute, int guarded) {
        return new Settings(
                0,
                2,
                0,
                List.of(
                        new Settings.Route(
                                Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 800 * MS, 2500 * MS, 2, 0, 0),
                        new Settings.Route(
                                Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL, SECOND, 3 * SECOND, 1, 0, 0)),
                List.of(),
                new Settings.Limits(SECOND, 5 * SECOND, 0.4, 2 * SECOND, 3, 10 * SECOND),
                new Settings.Capabilities(4, true, false, true, true, SECOND, false),
                new Settings.Costs(0, 0.01, 0.01, 0.5, 3),
                new Settings.Rollout(
                        Settings.PromotionPolicy.VOTE_COUNT,
                        1,
                        1,
                        0,
                        5 * SECOND,
                        SECOND,
                        40,
                        List.of(0.1, 0.4, 1.0),
                        2 * SECOND,
                        guarded,
                        true,
                        WINDOW,
                        FREE,
                        perRoute,
                        0,
                        0.3),
                false);
    }

    /** A front's world in miniature: lists, news and answers as told, and a book of all that was sent. */
    private static final class World {
        final Settings set;
        final PartitionedDecider lanes;
        final Random random;
        long now = 36_000_000;
        final Map<String, EndpointEntry> list = new HashMap<>();
        final TreeMap<Integer, Event.RolloutUpdate> news = new TreeMap<>();
        final Map<Integer, List<ArrayDeque<Long>>> sends = new HashMap<>();
        final List<ArrayDeque<Long>> taken = new ArrayList<>();
        final Map<String, Integer> answeredBy = new HashMap<>();
        final Map<Integer, Integer> all = new TreeMap<>();
        final Map<String, Event.RequestReceived> reqs = new HashMap<>();
        final Map<String, Integer> tries = new HashMap<>();
        final Map<String, Integer> toMachine = new HashMap<>();
        final Set<String> ended = new HashSet<>();
        final TreeMap<Long, List<Event>> due = new TreeMap<>();
        final List<String> broken = new ArrayList<>();
        final List<Action.CastVote> votes = new ArrayList<>();
        int ids;

        World(Settings set, long seed) {
            this.set = set;
            this.random = new Random(seed);
            lanes = new PartitionedDecider(set, seed, RoutingDecider::new);
            for (int i = 0; i < set.routes().size(); i++) {
                taken.add(new ArrayDeque<>());
            }
        }

        void machines(int build, int n) {
            List<EndpointEntry> named = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                named.add(new EndpointEntry(
                        "b" + build + "." + i, build, 0, 0, 0, 1, EndpointState.ACTIVE, build == 1 ? 0 : now));
            }
            lists(named);
        }

        void gone(int build) {
            List<EndpointEntry> named = new ArrayList<>();
            list.values().stream()
                    .filter(m -> m.build() == build)
                    .forEach(m -> named.add(new EndpointEntry(
                            m.endpointId(), build, 0, 0, 0, 1, EndpointState.REMOVED, m.startedAtTicks())));
            lists(named);
        }

        void lists(List<EndpointEntry> named) {
            for (EndpointEntry m : named) {
                if (m.state() == EndpointState.REMOVED) {
                    list.remove(m.endpointId());
                } else {
                    list.put(m.endpointId(), m);
                }
            }
            step(List.of(new Event.EndpointListUpdate(EndpointListKind.DELTA, named)));
        }

        void tells(int build, int stage, RolloutPhase phase) {
            double cap = phase == RolloutPhase.RELEASED
                    ? 1
                    : phase == RolloutPhase.CANARY
                            ? set.rollout().stageExposureCaps().get(stage)
                            : 0;
            Event.RolloutUpdate n = new Event.RolloutUpdate(ControlStatus.OK, stage, cap, 0, phase, build, false);
            news.put(build, n);
            // an answer to a vote tells what stands when it comes
            due.values()
                    .forEach(l -> l.replaceAll(e -> e instanceof Event.RolloutUpdate v && v.build() == build
                            ? new Event.RolloutUpdate(ControlStatus.OK, stage, cap, 0, phase, build, true)
                            : e));
            if (phase == RolloutPhase.RELEASED) {
                news.headMap(build).clear();
            }
            if (phase != RolloutPhase.CANARY && phase != RolloutPhase.RELEASED) {
                answeredBy.values().removeIf(b -> b == build);
            }
            step(List.of(n));
        }

        void traffic(long span, int everyMs, double errors) {
            long until = now + span;
            while (now < until) {
                now += everyMs * MS;
                List<Event> events = new ArrayList<>();
                while (!due.isEmpty() && due.firstKey() <= now) {
                    events.addAll(due.pollFirstEntry().getValue());
                }
                // a few popular keys, and many
                String key = random.nextInt(8) == 0 ? null : "k" + (int) Math.pow(200, random.nextDouble());
                int route = random.nextInt(set.routes().size());
                Event.RequestReceived r = new Event.RequestReceived(
                        "r" + ids++,
                        route,
                        0,
                        key,
                        now + set.routes().get(route).timeoutTicks(),
                        0,
                        false);
                reqs.put(r.requestId(), r);
                taken.get(set.rollout().exposurePerRoute() ? route : 0).addLast(now);
                events.add(r);
                errorShare = errors;
                step(events);
            }
        }

        private double errorShare;
        /** Answers that a machine gave and that broke on their way. */
        private double unreadableShare;

        void step(List<Event> events) {
            for (Event e : events) {
                if (e instanceof Event.AttemptEnded t && t.outcome() == AttemptOutcome.COMPLETED) {
                    ended(t.requestId());
                    answered(t);
                } else if (e instanceof Event.AttemptEnded t && t.outcome() == AttemptOutcome.CONNECTION_LOST) {
                    answered(t);
                }
            }
            for (Action a : lanes.decide(now, events)) {
                if (a instanceof Action.SendAttempt s) {
                    sent(s);
                } else if (a instanceof Action.RejectRequest s) {
                    ended(s.requestId());
                } else if (a instanceof Action.FailRequest s) {
                    ended(s.requestId());
                } else if (a instanceof Action.CastVote v) {
                    votes.add(v);
                    due.computeIfAbsent(now + 50 * MS, k -> new ArrayList<>())
                            .add(new Event.RolloutUpdate(
                                    ControlStatus.OK,
                                    news.get(v.build()).stage(),
                                    news.get(v.build()).exposureCap(),
                                    0,
                                    news.get(v.build()).phase(),
                                    v.build(),
                                    true));
                } else if (a instanceof Action.StartTimer t) {
                    due.computeIfAbsent(Math.max(now + 1, t.dueAtTicks()), k -> new ArrayList<>())
                            .add(new Event.TimerFired(t.timerId()));
                } else if (a instanceof Action.CancelAttempt s) {
                    due.values()
                            .forEach(l -> l.removeIf(e -> e instanceof Event.AttemptEnded t
                                    && t.requestId().equals(s.requestId())));
                    due.computeIfAbsent(now + 1, k -> new ArrayList<>())
                            .add(new Event.AttemptEnded(
                                    s.requestId(),
                                    s.attempt(),
                                    "b1.0",
                                    AttemptOutcome.CANCELLED,
                                    1,
                                    true,
                                    LoadReport.NONE));
                }
            }
        }

        private void answered(Event.AttemptEnded t) {
            String key = reqs.get(t.requestId()).partitionKey();
            int build =
                    Integer.parseInt(t.endpointId().substring(1, t.endpointId().indexOf('.')));
            Event.RolloutUpdate n = news.get(build);
            boolean stands =
                    build > 1 && n != null && (n.phase() == RolloutPhase.CANARY || n.phase() == RolloutPhase.RELEASED);
            if (key != null && stands) {
                answeredBy.merge(key, build, Math::max);
            }
        }

        private void ended(String req) {
            if (!ended.add(req)) {
                broken.add(now + ": " + req + " ended twice");
            }
        }

        private void sent(Action.SendAttempt s) {
            EndpointEntry m = list.get(s.endpointId());
            Event.RequestReceived r = reqs.get(s.requestId());
            if (m == null) {
                broken.add(now + ": sent to " + s.endpointId() + ", which is gone");
                return;
            }
            if (ended.contains(s.requestId())) {
                broken.add(now + ": sent after its end");
            }
            int no = tries.merge(s.requestId(), 1, Integer::sum) - 1;
            all.merge(m.build(), 1, Integer::sum);
            toMachine.merge(s.endpointId(), 1, Integer::sum);
            Event.RolloutUpdate n = news.get(m.build());
            Integer by = r.partitionKey() == null ? null : answeredBy.get(r.partitionKey());
            if (by != null && m.build() < by) {
                broken.add(now + ": key " + r.partitionKey() + " of build " + by + " went to " + m.build());
            }
            if (n != null && (n.phase() == RolloutPhase.ROLLING_BACK || n.phase() == RolloutPhase.ROLLED_BACK)) {
                broken.add(now + ": sent to build " + m.build() + ", which was sent back");
            }
            if (n != null && n.phase() == RolloutPhase.CANARY) {
                exposed(m.build(), r.route(), n);
                if (n.stage() < set.rollout().guardedStages()
                        && set.routes().get(r.route()).idempotency() != Idempotency.IDEMPOTENT) {
                    broken.add(now + ": guarded stage");
                }
            }
            AttemptOutcome o = random.nextDouble() < errorShare && m.build() == 2
                    ? AttemptOutcome.FAILED
                    : unreadableShare > 0 && random.nextDouble() < unreadableShare
                            ? AttemptOutcome.CONNECTION_LOST
                            : AttemptOutcome.COMPLETED;
            due.computeIfAbsent(now + 8 * MS + random.nextInt(100), k -> new ArrayList<>())
                    .add(new Event.AttemptEnded(
                            s.requestId(), no, s.endpointId(), o, 80, o == AttemptOutcome.COMPLETED, LoadReport.NONE));
        }

        private void exposed(int build, int route, Event.RolloutUpdate n) {
            int scope = set.rollout().exposurePerRoute() ? route : 0;
            List<ArrayDeque<Long>> of =
                    sends.computeIfAbsent(build, k -> List.of(new ArrayDeque<>(), new ArrayDeque<>()));
            of.get(scope).addLast(now);
            for (ArrayDeque<Long> q : List.of(of.get(scope), taken.get(scope))) {
                while (!q.isEmpty() && q.peekFirst() <= now - WINDOW) {
                    q.pollFirst();
                }
            }
            double most = FREE + n.exposureCap() * taken.get(scope).size();
            if (of.get(scope).size() > most) {
                broken.add(now + ": build " + build + " has " + of.get(scope).size() + " of " + most);
            }
        }

        int sentTo(int build) {
            return all.getOrDefault(build, 0);
        }
    }

    private static World begun(boolean perRoute, int guarded, long seed) {
        World w = new World(settings(perRoute, guarded), seed);
        w.machines(1, 8);
        w.tells(1, 0, RolloutPhase.RELEASED);
        w.traffic(2 * SECOND, 5, 0);
        return w;
    }

    private static World twoOnTrial(long seed) {
        World w = begun(false, 0, seed);
        w.machines(2, 2);
        w.machines(3, 2);
        w.tells(2, 0, RolloutPhase.CANARY);
        w.tells(3, 0, RolloutPhase.CANARY);
        return w;
    }

    @Test
    void withOneReleaseAllActionsAreThoseOfTheDeciderAlone() {
        for (int seed : new int[] {100, 103, 106, 109}) {
            assertEquals(
                    DecisionStreams.sum(RoutingDecider::new, seed),
                    DecisionStreams.sum((set, s) -> new PartitionedDecider(set, s, RoutingDecider::new), seed),
                    "stream " + seed);
        }
    }

    @Test
    void eachReleaseHasItsShareAndItsCap() {
        for (boolean perRoute : new boolean[] {false, true}) {
            World w = begun(perRoute, 1, 3);
            w.machines(2, 2);
            w.tells(2, 0, RolloutPhase.CANARY);
            w.traffic(4 * SECOND, 5, 0);
            w.machines(3, 2);
            w.tells(3, 0, RolloutPhase.CANARY);
            w.traffic(4 * SECOND, 5, 0);
            int two = w.sentTo(2), three = w.sentTo(3), one = w.sentTo(1);
            w.machines(2, 5);
            w.tells(2, 1, RolloutPhase.CANARY);
            w.traffic(8 * SECOND, 5, 0);
            assertEquals(List.of(), w.broken);
            assertEquals(2, w.lanes.openPartitions());
            double sent = w.sentTo(2) - two + w.sentTo(3) - three + w.sentTo(1) - one;
            // its cap is 0.4 of all reqs, not of its lane's
            assertTrue((w.sentTo(2) - two) / sent > 0.2, w.all.toString());
            assertTrue((w.sentTo(3) - three) / sent > 0.03, w.all.toString());
        }
    }

    @Test
    void daysOfAllKindsBreakNothing() {
        for (int seed = 0; seed < 25; seed++) {
            World w = begun(seed % 2 == 0, seed % 3, seed);
            dayOfAllKinds(w, seed);
            assertEquals(List.of(), w.broken, "day " + seed);
            assertTrue(w.lanes.openPartitions() <= PartitionedDecider.MAX_ROLLOUTS);
        }
    }

    @Test
    void answersThatCannotBeReadBindTheirKeysWhenLanesAreCutAnew() {
        for (int seed = 0; seed < 25; seed++) {
            World w = begun(seed % 2 == 0, seed % 3, seed);
            w.unreadableShare = 0.1;
            dayOfAllKinds(w, seed);
            assertEquals(List.of(), w.broken, "day " + seed);
        }
    }

    private static void dayOfAllKinds(World w, int seed) {
        Random r = new Random(seed);
        int next = 2;
        Map<Integer, Integer> on = new TreeMap<>();
        for (int turn = 0; turn < 14; turn++) {
            int what = r.nextInt(6);
            if ((what <= 1 && on.size() < 4) || on.isEmpty()) {
                w.machines(next, 1 + r.nextInt(3));
                if (r.nextBoolean()) {
                    w.traffic(200 * MS, 5, 0);
                }
                w.tells(next, 0, RolloutPhase.CANARY);
                on.put(next++, 0);
            } else {
                int build = new ArrayList<>(on.keySet()).get(r.nextInt(on.size()));
                int stage = on.get(build);
                if (what <= 3 && stage < 2) {
                    w.machines(build, 3 + 14 * stage);
                    w.tells(build, stage + 1, RolloutPhase.CANARY);
                    on.put(build, stage + 1);
                } else if (what == 4 && stage == 2) {
                    for (int older : List.copyOf(on.keySet())) {
                        if (older < build) {
                            w.tells(older, on.remove(older), RolloutPhase.ROLLING_BACK);
                            w.gone(older);
                        }
                    }
                    w.tells(build, 2, RolloutPhase.RELEASED);
                    on.remove(build);
                } else {
                    w.tells(build, stage, RolloutPhase.ROLLING_BACK);
                    w.traffic(SECOND / 2, 5, 0);
                    w.gone(build);
                    on.remove(build);
                    // the base comes back in its place
                    w.machines(1, 8);
                    w.tells(build, stage, RolloutPhase.ROLLED_BACK);
                }
            }
            w.traffic(SECOND + r.nextInt(30_000), 5 + r.nextInt(10), 0);
        }
    }

    @Test
    void aBadReleaseIsVotedBackInItsOwnLaneAndTheOtherGoesOn() {
        World w = twoOnTrial(5);
        w.traffic(15 * SECOND, 5, 0.5);
        assertTrue(
                w.votes.stream().anyMatch(v -> v.build() == 2 && v.verdict() == Verdict.ROLL_BACK), w.votes.toString());
        assertTrue(
                w.votes.stream().noneMatch(v -> v.build() == 3 && v.verdict() == Verdict.ROLL_BACK),
                w.votes.toString());
        assertEquals(List.of(), w.broken);
    }

    @Test
    void whileBlameIsOpenNobodyGoesOnAndTheGuiltyIsVotedBack() {
        World w = twoOnTrial(6);
        w.lanes.attribute(2, PartitionedDecider.Attribution.OPEN);
        w.lanes.attribute(3, PartitionedDecider.Attribution.OPEN);
        w.traffic(15 * SECOND, 5, 0);
        assertEquals(List.of(), w.votes);
        w.lanes.attribute(2, PartitionedDecider.Attribution.CLEARED);
        w.lanes.attribute(3, PartitionedDecider.Attribution.GUILTY);
        w.traffic(5 * SECOND, 5, 0);
        assertTrue(
                w.votes.stream().allMatch(v -> v.build() == 3 && v.verdict() == Verdict.ROLL_BACK), w.votes.toString());
        assertTrue(w.votes.size() > 1, "its vote is renewed while it counts");
        w.tells(3, 0, RolloutPhase.ROLLING_BACK);
        w.gone(3);
        w.tells(3, 0, RolloutPhase.ROLLED_BACK);
        w.traffic(10 * SECOND, 5, 0);
        assertTrue(
                w.votes.stream().anyMatch(v -> v.build() == 2 && v.verdict() == Verdict.PROMOTE), w.votes.toString());
        assertEquals(List.of(), w.broken);
    }

    @Test
    void lanesTogetherSpareAColdMachine() {
        World w = begun(false, 0, 7);
        for (int build = 2; build <= 4; build++) {
            w.machines(build, 1);
            w.tells(build, 0, RolloutPhase.CANARY);
        }
        w.traffic(12 * SECOND, 5, 0);
        w.lists(List.of(new EndpointEntry("b1.cold", 1, 0, 0, 0, 1, EndpointState.ACTIVE, w.now)));
        w.traffic(2 * SECOND, 5, 0);
        assertEquals(3, w.lanes.openPartitions());
        assertEquals(List.of(), w.broken);
        // 200 reqs a second over 12 machines: a usual 33 in the 2 s that may tip it, 3 times that when warm, 0.4 cold
        int sent = w.toMachine.getOrDefault("b1.cold", 0);
        assertTrue(sent > 0 && sent < 3 * 0.45 * 33, "sent " + sent);
    }

    /** A decider that sends each req to the machine named and does nothing else. */
    private static PartitionedDecider sendingTo(String machine) {
        return new PartitionedDecider(
                settings(false, 0),
                1,
                (set, seed) -> (now, events) -> events.stream()
                        .filter(e -> e instanceof Event.RequestReceived)
                        .map(e -> (Action) new Action.SendAttempt(((Event.RequestReceived) e).requestId(), machine, 0))
                        .toList());
    }

    private static void answered(PartitionedDecider lanes, long now, String key) {
        lanes.decide(now, List.of(new Event.RequestReceived(key, 0, 0, key, now + SECOND, 0, false)));
        lanes.decide(
                now, List.of(new Event.AttemptEnded(key, 0, "m", AttemptOutcome.COMPLETED, 1, true, LoadReport.NONE)));
    }

    private static Event.RolloutUpdate news(int build, RolloutPhase phase) {
        return new Event.RolloutUpdate(ControlStatus.OK, 0, 1, 0, phase, build, false);
    }

    @Test
    void whatIsCountedForTheCapLeavesWithItsWindowAlsoInALaneAlone() {
        ExposureWindow taken = new ExposureWindow(1, WINDOW, false);
        for (int i = 0; i < 100_000; i++) {
            taken.add(0, i * 10L * MS);
        }
        assertTrue(taken.size() <= WINDOW / (10 * MS) + 1, "held " + taken.size());
    }

    @Test
    void keysOfReleasesThatHaveEndedAreForgottenAndMakeRoomForThoseThatStand() {
        PartitionedDecider lanes = sendingTo("m");
        long now = SECOND;
        lanes.decide(
                now,
                List.of(
                        new Event.EndpointListUpdate(
                                EndpointListKind.SNAPSHOT,
                                List.of(new EndpointEntry("m", 2, 0, 0, 0, 1, EndpointState.ACTIVE, 0))),
                        news(1, RolloutPhase.RELEASED),
                        news(2, RolloutPhase.CANARY)));
        for (int i = 0; i < 600_001; i++) {
            answered(lanes, now, "k" + i);
        }
        lanes.decide(now, List.of(news(2, RolloutPhase.RELEASED)));
        assertEquals(0, lanes.boundKeys(), "the release is over");
        lanes.decide(
                now,
                List.of(
                        new Event.EndpointListUpdate(
                                EndpointListKind.SNAPSHOT,
                                List.of(new EndpointEntry("m", 3, 0, 0, 0, 1, EndpointState.ACTIVE, 0))),
                        news(3, RolloutPhase.CANARY)));
        answered(lanes, now, "new");
        assertEquals(1, lanes.boundKeys(), "a build on trial answered it: it must not be cut anew");
    }

    @Test
    void whileBlameFallsOnAnotherAVoteToSendBackWaits() {
        World w = twoOnTrial(8);
        w.lanes.attribute(3, PartitionedDecider.Attribution.GUILTY);
        w.traffic(10 * SECOND, 5, 0.5);
        assertTrue(w.votes.stream().noneMatch(v -> v.build() == 2), "its errors may be the guilty one's: " + w.votes);
        w.traffic(20 * SECOND, 5, 0.5);
        assertTrue(
                w.votes.stream().anyMatch(v -> v.build() == 2 && v.verdict() == Verdict.ROLL_BACK), "and not for ever");
    }

    @Test
    void aTrialThatMayHaveAllServesBesideALaterOneAsTheOldMachinesGiveWay() {
        World w = begun(false, 0, 9);
        w.machines(2, 8);
        w.tells(2, 2, RolloutPhase.CANARY);
        w.traffic(8 * SECOND, 5, 0);
        w.machines(3, 1);
        w.tells(3, 0, RolloutPhase.CANARY);
        w.gone(1);
        w.traffic(SECOND, 5, 0);
        int before = w.sentTo(2);
        w.traffic(10 * SECOND, 5, 0);
        assertTrue(w.sentTo(2) - before > 1_600, "of 2,000 reqs " + (w.sentTo(2) - before));
        assertEquals(List.of(), w.broken);
    }

    @Test
    void complaintsOfASharedMachineAreDealtToTheLanesInTurn() {
        List<int[]> heard = new ArrayList<>();
        PartitionedDecider lanes = new PartitionedDecider(settings(false, 0), 1, (set, seed) -> {
            int[] mine = new int[1];
            heard.add(mine);
            return (now, events) -> {
                mine[0] += (int) events.stream()
                        .filter(e -> e instanceof Event.ComplaintReceived)
                        .count();
                return List.of();
            };
        });
        lanes.decide(
                SECOND,
                List.of(
                        new Event.EndpointListUpdate(
                                EndpointListKind.SNAPSHOT,
                                List.of(new EndpointEntry("m", 1, 0, 0, 0, 1, EndpointState.ACTIVE, 0))),
                        news(1, RolloutPhase.RELEASED),
                        news(2, RolloutPhase.CANARY),
                        news(3, RolloutPhase.CANARY)));
        for (int i = 0; i < 10; i++) {
            lanes.decide(SECOND, List.of(new Event.ComplaintReceived("m", 5, 0)));
        }
        assertEquals(List.of(5, 5), heard.stream().map(h -> h[0]).toList());
    }
}
