package laurelkeel.lanes;

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
import laurelkeel.api.Event.Answer;
import laurelkeel.api.Event.ListKind;
import laurelkeel.api.Event.Listed;
import laurelkeel.api.Event.MachineState;
import laurelkeel.api.Event.Outcome;
import laurelkeel.api.Event.Phase;
import laurelkeel.api.Settings;
import laurelkeel.api.Settings.Effect;
import laurelkeel.api.Settings.Group;
import laurelkeel.bench.Streams;
import laurelkeel.decision.Shifter;
import org.junit.jupiter.api.Test;

/** Days of several releases behind one front, each rule checked at every send for every release. */
class LanesTest {
    private static final long MS = 10, SECOND = 10_000;
    private static final double FREE = 2;
    private static final long WINDOW = 4 * SECOND;

    private static Settings settings(boolean perRoute, int guarded) {
        return new Settings(
                0,
                2,
                0,
                List.of(
                        new Settings.Route(Effect.RETRIABLE, Group.ALL, 800 * MS, 2500 * MS, 2, 0, 0),
                        new Settings.Route(Effect.NON_RETRIABLE, Group.ALL, SECOND, 3 * SECOND, 1, 0, 0)),
                List.of(),
                new Settings.Limits(SECOND, 5 * SECOND, 0.4, 2 * SECOND, 3, 10 * SECOND),
                new Settings.Allowed(4, true, false, true, true, SECOND, false),
                new Settings.Prices(0, 0.01, 0.01, 0.5, 3),
                new Settings.Rollout(
                        Settings.Control.COUNT,
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
        final Lanes lanes;
        final Random random;
        long now = 36_000_000;
        final Map<String, Listed> list = new HashMap<>();
        final TreeMap<Integer, Event.ReleaseNews> news = new TreeMap<>();
        final Map<Integer, List<ArrayDeque<Long>>> sends = new HashMap<>();
        final List<ArrayDeque<Long>> taken = new ArrayList<>();
        final Map<String, Integer> answeredBy = new HashMap<>();
        final Map<Integer, Integer> all = new TreeMap<>();
        final Map<String, Event.Req> reqs = new HashMap<>();
        final Map<String, Integer> tries = new HashMap<>();
        final Map<String, Integer> toMachine = new HashMap<>();
        final Set<String> ended = new HashSet<>();
        final TreeMap<Long, List<Event>> due = new TreeMap<>();
        final List<String> broken = new ArrayList<>();
        final List<Action.Vote> votes = new ArrayList<>();
        int ids;

        World(Settings set, long seed) {
            this.set = set;
            this.random = new Random(seed);
            lanes = new Lanes(set, seed, Shifter::new);
            for (int i = 0; i < set.routes().size(); i++) {
                taken.add(new ArrayDeque<>());
            }
        }

        void machines(int build, int n) {
            List<Listed> named = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                named.add(
                        new Listed("b" + build + "." + i, build, 0, 0, 0, 1, MachineState.LIVE, build == 1 ? 0 : now));
            }
            lists(named);
        }

        void gone(int build) {
            List<Listed> named = new ArrayList<>();
            list.values().stream()
                    .filter(m -> m.build() == build)
                    .forEach(
                            m -> named.add(new Listed(m.machine(), build, 0, 0, 0, 1, MachineState.GONE, m.started())));
            lists(named);
        }

        void lists(List<Listed> named) {
            for (Listed m : named) {
                if (m.state() == MachineState.GONE) {
                    list.remove(m.machine());
                } else {
                    list.put(m.machine(), m);
                }
            }
            step(List.of(new Event.MachineList(ListKind.CHANGES, named)));
        }

        void tells(int build, int stage, Phase phase) {
            double cap = phase == Phase.RELEASED
                    ? 1
                    : phase == Phase.TRIAL ? set.rollout().stageCaps().get(stage) : 0;
            Event.ReleaseNews n = new Event.ReleaseNews(Answer.OK, stage, cap, 0, phase, build, false);
            news.put(build, n);
            // an answer to a vote tells what stands when it comes
            due.values()
                    .forEach(l -> l.replaceAll(e -> e instanceof Event.ReleaseNews v && v.build() == build
                            ? new Event.ReleaseNews(Answer.OK, stage, cap, 0, phase, build, true)
                            : e));
            if (phase == Phase.RELEASED) {
                news.headMap(build).clear();
            }
            if (phase != Phase.TRIAL && phase != Phase.RELEASED) {
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
                Event.Req r = new Event.Req(
                        "r" + ids++,
                        route,
                        0,
                        key,
                        now + set.routes().get(route).timeout(),
                        0,
                        false);
                reqs.put(r.id(), r);
                taken.get(set.rollout().perRoute() ? route : 0).addLast(now);
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
                if (e instanceof Event.TryEnded t && t.outcome() == Outcome.COMPLETED) {
                    ended(t.req());
                    answered(t);
                } else if (e instanceof Event.TryEnded t && t.outcome() == Outcome.BROKEN) {
                    answered(t);
                }
            }
            for (Action a : lanes.decide(now, events)) {
                if (a instanceof Action.Send s) {
                    sent(s);
                } else if (a instanceof Action.Shed s) {
                    ended(s.req());
                } else if (a instanceof Action.Err s) {
                    ended(s.req());
                } else if (a instanceof Action.Vote v) {
                    votes.add(v);
                    due.computeIfAbsent(now + 50 * MS, k -> new ArrayList<>())
                            .add(new Event.ReleaseNews(
                                    Answer.OK,
                                    news.get(v.build()).stage(),
                                    news.get(v.build()).cap(),
                                    0,
                                    news.get(v.build()).phase(),
                                    v.build(),
                                    true));
                } else if (a instanceof Action.Timer t) {
                    due.computeIfAbsent(Math.max(now + 1, t.when()), k -> new ArrayList<>())
                            .add(new Event.TimerDue(t.handle()));
                } else if (a instanceof Action.StopTry s) {
                    due.values()
                            .forEach(l -> l.removeIf(e ->
                                    e instanceof Event.TryEnded t && t.req().equals(s.req())));
                    due.computeIfAbsent(now + 1, k -> new ArrayList<>())
                            .add(new Event.TryEnded(s.req(), s.tryNo(), "b1.0", Outcome.STOPPED, 1, true, Map.of()));
                }
            }
        }

        private void answered(Event.TryEnded t) {
            String key = reqs.get(t.req()).key();
            int build = Integer.parseInt(t.machine().substring(1, t.machine().indexOf('.')));
            Event.ReleaseNews n = news.get(build);
            boolean stands = build > 1 && n != null && (n.phase() == Phase.TRIAL || n.phase() == Phase.RELEASED);
            if (key != null && stands) {
                answeredBy.merge(key, build, Math::max);
            }
        }

        private void ended(String req) {
            if (!ended.add(req)) {
                broken.add(now + ": " + req + " ended twice");
            }
        }

        private void sent(Action.Send s) {
            Listed m = list.get(s.machine());
            Event.Req r = reqs.get(s.req());
            if (m == null) {
                broken.add(now + ": sent to " + s.machine() + ", which is gone");
                return;
            }
            if (ended.contains(s.req())) {
                broken.add(now + ": sent after its end");
            }
            int no = tries.merge(s.req(), 1, Integer::sum) - 1;
            all.merge(m.build(), 1, Integer::sum);
            toMachine.merge(s.machine(), 1, Integer::sum);
            Event.ReleaseNews n = news.get(m.build());
            Integer by = r.key() == null ? null : answeredBy.get(r.key());
            if (by != null && m.build() < by) {
                broken.add(now + ": key " + r.key() + " of build " + by + " went to " + m.build());
            }
            if (n != null && (n.phase() == Phase.GOING_BACK || n.phase() == Phase.WITHDRAWN)) {
                broken.add(now + ": sent to build " + m.build() + ", which was sent back");
            }
            if (n != null && n.phase() == Phase.TRIAL) {
                exposed(m.build(), r.route(), n);
                if (n.stage() < set.rollout().guardedStages()
                        && set.routes().get(r.route()).effect() != Effect.RETRIABLE) {
                    broken.add(now + ": guarded stage");
                }
            }
            Outcome o = random.nextDouble() < errorShare && m.build() == 2
                    ? Outcome.ERROR
                    : unreadableShare > 0 && random.nextDouble() < unreadableShare ? Outcome.BROKEN : Outcome.COMPLETED;
            due.computeIfAbsent(now + 8 * MS + random.nextInt(100), k -> new ArrayList<>())
                    .add(new Event.TryEnded(s.req(), no, s.machine(), o, 80, o == Outcome.COMPLETED, Map.of()));
        }

        private void exposed(int build, int route, Event.ReleaseNews n) {
            int scope = set.rollout().perRoute() ? route : 0;
            List<ArrayDeque<Long>> of =
                    sends.computeIfAbsent(build, k -> List.of(new ArrayDeque<>(), new ArrayDeque<>()));
            of.get(scope).addLast(now);
            for (ArrayDeque<Long> q : List.of(of.get(scope), taken.get(scope))) {
                while (!q.isEmpty() && q.peekFirst() <= now - WINDOW) {
                    q.pollFirst();
                }
            }
            double most = FREE + n.cap() * taken.get(scope).size();
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
        w.tells(1, 0, Phase.RELEASED);
        w.traffic(2 * SECOND, 5, 0);
        return w;
    }

    private static World twoOnTrial(long seed) {
        World w = begun(false, 0, seed);
        w.machines(2, 2);
        w.machines(3, 2);
        w.tells(2, 0, Phase.TRIAL);
        w.tells(3, 0, Phase.TRIAL);
        return w;
    }

    @Test
    void withOneReleaseAllActionsAreThoseOfTheDeciderAlone() {
        for (int seed : new int[] {100, 103, 106, 109}) {
            assertEquals(
                    Streams.sum(Shifter::new, seed),
                    Streams.sum((set, s) -> new Lanes(set, s, Shifter::new), seed),
                    "stream " + seed);
        }
    }

    @Test
    void eachReleaseHasItsShareAndItsCap() {
        for (boolean perRoute : new boolean[] {false, true}) {
            World w = begun(perRoute, 1, 3);
            w.machines(2, 2);
            w.tells(2, 0, Phase.TRIAL);
            w.traffic(4 * SECOND, 5, 0);
            w.machines(3, 2);
            w.tells(3, 0, Phase.TRIAL);
            w.traffic(4 * SECOND, 5, 0);
            int two = w.sentTo(2), three = w.sentTo(3), one = w.sentTo(1);
            w.machines(2, 5);
            w.tells(2, 1, Phase.TRIAL);
            w.traffic(8 * SECOND, 5, 0);
            assertEquals(List.of(), w.broken);
            assertEquals(2, w.lanes.open());
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
            assertTrue(w.lanes.open() <= Lanes.MOST);
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
            if (what <= 1 && on.size() < 4 || on.isEmpty()) {
                w.machines(next, 1 + r.nextInt(3));
                if (r.nextBoolean()) {
                    w.traffic(200 * MS, 5, 0);
                }
                w.tells(next, 0, Phase.TRIAL);
                on.put(next++, 0);
            } else {
                int build = new ArrayList<>(on.keySet()).get(r.nextInt(on.size()));
                int stage = on.get(build);
                if (what <= 3 && stage < 2) {
                    w.machines(build, 3 + 14 * stage);
                    w.tells(build, stage + 1, Phase.TRIAL);
                    on.put(build, stage + 1);
                } else if (what == 4 && stage == 2) {
                    for (int older : List.copyOf(on.keySet())) {
                        if (older < build) {
                            w.tells(older, on.remove(older), Phase.GOING_BACK);
                            w.gone(older);
                        }
                    }
                    w.tells(build, 2, Phase.RELEASED);
                    on.remove(build);
                } else {
                    w.tells(build, stage, Phase.GOING_BACK);
                    w.traffic(SECOND / 2, 5, 0);
                    w.gone(build);
                    on.remove(build);
                    // the base comes back in its place
                    w.machines(1, 8);
                    w.tells(build, stage, Phase.WITHDRAWN);
                }
            }
            w.traffic(SECOND + r.nextInt(30_000), 5 + r.nextInt(10), 0);
        }
    }

    @Test
    void aBadReleaseIsVotedBackInItsOwnLaneAndTheOtherGoesOn() {
        World w = twoOnTrial(5);
        w.traffic(15 * SECOND, 5, 0.5);
        assertTrue(w.votes.stream().anyMatch(v -> v.build() == 2 && v.verdict() == Verdict.BACK), w.votes.toString());
        assertTrue(w.votes.stream().noneMatch(v -> v.build() == 3 && v.verdict() == Verdict.BACK), w.votes.toString());
        assertEquals(List.of(), w.broken);
    }

    @Test
    void whileBlameIsOpenNobodyGoesOnAndTheGuiltyIsVotedBack() {
        World w = twoOnTrial(6);
        w.lanes.blame(2, Lanes.Blame.OPEN);
        w.lanes.blame(3, Lanes.Blame.OPEN);
        w.traffic(15 * SECOND, 5, 0);
        assertEquals(List.of(), w.votes);
        w.lanes.blame(2, Lanes.Blame.CLEARED);
        w.lanes.blame(3, Lanes.Blame.GUILTY);
        w.traffic(5 * SECOND, 5, 0);
        assertTrue(w.votes.stream().allMatch(v -> v.build() == 3 && v.verdict() == Verdict.BACK), w.votes.toString());
        assertTrue(w.votes.size() > 1, "its vote is renewed while it counts");
        w.tells(3, 0, Phase.GOING_BACK);
        w.gone(3);
        w.tells(3, 0, Phase.WITHDRAWN);
        w.traffic(10 * SECOND, 5, 0);
        assertTrue(w.votes.stream().anyMatch(v -> v.build() == 2 && v.verdict() == Verdict.ON), w.votes.toString());
        assertEquals(List.of(), w.broken);
    }

    @Test
    void lanesTogetherSpareAColdMachine() {
        World w = begun(false, 0, 7);
        for (int build = 2; build <= 4; build++) {
            w.machines(build, 1);
            w.tells(build, 0, Phase.TRIAL);
        }
        w.traffic(12 * SECOND, 5, 0);
        w.lists(List.of(new Listed("b1.cold", 1, 0, 0, 0, 1, MachineState.LIVE, w.now)));
        w.traffic(2 * SECOND, 5, 0);
        assertEquals(3, w.lanes.open());
        assertEquals(List.of(), w.broken);
        // 200 reqs a second over 12 machines: a usual 33 in the 2 s that may tip it, 3 times that when warm, 0.4 cold
        int sent = w.toMachine.getOrDefault("b1.cold", 0);
        assertTrue(sent > 0 && sent < 3 * 0.45 * 33, "sent " + sent);
    }

    /** A decider that sends each req to the machine named and does nothing else. */
    private static Lanes sendingTo(String machine) {
        return new Lanes(
                settings(false, 0),
                1,
                (set, seed) -> (now, events) -> events.stream()
                        .filter(e -> e instanceof Event.Req)
                        .map(e -> (Action) new Action.Send(((Event.Req) e).id(), machine, 0))
                        .toList());
    }

    private static void answered(Lanes lanes, long now, String key) {
        lanes.decide(now, List.of(new Event.Req(key, 0, 0, key, now + SECOND, 0, false)));
        lanes.decide(now, List.of(new Event.TryEnded(key, 0, "m", Outcome.COMPLETED, 1, true, Map.of())));
    }

    private static Event.ReleaseNews news(int build, Phase phase) {
        return new Event.ReleaseNews(Answer.OK, 0, 1, 0, phase, build, false);
    }

    @Test
    void whatIsCountedForTheCapLeavesWithItsWindowAlsoInALaneAlone() {
        Taken taken = new Taken(1, WINDOW, false, false);
        for (int i = 0; i < 100_000; i++) {
            taken.add(0, i * 10L * MS);
        }
        assertTrue(taken.held() <= WINDOW / (10 * MS) + 1, "held " + taken.held());
    }

    @Test
    void keysOfReleasesThatHaveEndedAreForgottenAndMakeRoomForThoseThatStand() {
        Lanes lanes = sendingTo("m");
        long now = SECOND;
        lanes.decide(
                now,
                List.of(
                        new Event.MachineList(
                                ListKind.FULL, List.of(new Listed("m", 2, 0, 0, 0, 1, MachineState.LIVE, 0))),
                        news(1, Phase.RELEASED),
                        news(2, Phase.TRIAL)));
        for (int i = 0; i < 600_001; i++) {
            answered(lanes, now, "k" + i);
        }
        lanes.decide(now, List.of(news(2, Phase.RELEASED)));
        assertEquals(0, lanes.keysKept(), "the release is over");
        lanes.decide(
                now,
                List.of(
                        new Event.MachineList(
                                ListKind.FULL, List.of(new Listed("m", 3, 0, 0, 0, 1, MachineState.LIVE, 0))),
                        news(3, Phase.TRIAL)));
        answered(lanes, now, "new");
        assertEquals(1, lanes.keysKept(), "a build on trial answered it: it must not be cut anew");
    }

    @Test
    void whileBlameFallsOnAnotherAVoteToSendBackWaits() {
        World w = twoOnTrial(8);
        w.lanes.blame(3, Lanes.Blame.GUILTY);
        w.traffic(10 * SECOND, 5, 0.5);
        assertTrue(w.votes.stream().noneMatch(v -> v.build() == 2), "its errors may be the guilty one's: " + w.votes);
        w.traffic(20 * SECOND, 5, 0.5);
        assertTrue(w.votes.stream().anyMatch(v -> v.build() == 2 && v.verdict() == Verdict.BACK), "and not for ever");
    }

    @Test
    void aTrialThatMayHaveAllServesBesideALaterOneAsTheOldMachinesGiveWay() {
        World w = begun(false, 0, 9);
        w.machines(2, 8);
        w.tells(2, 2, Phase.TRIAL);
        w.traffic(8 * SECOND, 5, 0);
        w.machines(3, 1);
        w.tells(3, 0, Phase.TRIAL);
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
        Lanes lanes = new Lanes(settings(false, 0), 1, (set, seed) -> {
            int[] mine = new int[1];
            heard.add(mine);
            return (now, events) -> {
                mine[0] += (int) events.stream()
                        .filter(e -> e instanceof Event.Complaint)
                        .count();
                return List.of();
            };
        });
        lanes.decide(
                SECOND,
                List.of(
                        new Event.MachineList(
                                ListKind.FULL, List.of(new Listed("m", 1, 0, 0, 0, 1, MachineState.LIVE, 0))),
                        news(1, Phase.RELEASED),
                        news(2, Phase.TRIAL),
                        news(3, Phase.TRIAL)));
        for (int i = 0; i < 10; i++) {
            lanes.decide(SECOND, List.of(new Event.Complaint("m", 5, 0)));
        }
        assertEquals(List.of(5, 5), heard.stream().map(h -> h[0]).toList());
    }
}
