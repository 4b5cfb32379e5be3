package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import laurelkeel.api.Action;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Settings;
import laurelkeel.partition.PartitionedDecider;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * The module, alone and behind lanes, beside a plain model of the rules: one property a rule, on generated days. The model is Play's.
 */
class RequestRulesTest {
    private static final AttemptOutcome[] ENDS = {
        AttemptOutcome.COMPLETED,
        AttemptOutcome.COMPLETED,
        AttemptOutcome.COMPLETED,
        AttemptOutcome.COMPLETED,
        AttemptOutcome.FAILED,
        AttemptOutcome.OVERLOADED,
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.CONNECTION_LOST,
        AttemptOutcome.NOT_SENT
    };

    /** What a generated day is made of; the same seed is the same day. */
    private static DecisionSimulation day(long seed, boolean lanes) {
        Random chance = new Random(seed);
        Settings set = DecisionSimulation.settings(
                chance.nextBoolean(), chance.nextInt(3), Settings.PromotionPolicy.FIRST_VOTE);
        DecisionSimulation play = new DecisionSimulation(
                set, lanes ? new PartitionedDecider(set, seed, RoutingDecider::new) : new RoutingDecider(set, seed));
        play.silent = new Random(seed);
        play.begin(6);
        Line line = new Line(play, lanes ? 3 : 1, chance);
        for (int i = 0; i < 1200; i++) {
            int what = chance.nextInt(100);
            if (what < 50) {
                play.req(chance.nextInt(3), chance.nextInt(5) == 0 ? null : "k" + chance.nextInt(60));
            } else if (what < 84 && !play.out.isEmpty()) {
                play.ends(play.out.get(chance.nextInt(play.out.size())), ENDS[chance.nextInt(ENDS.length)]);
            } else if (what < 86 && !play.owed.isEmpty()) {
                play.leaves(new TreeSet<>(play.owed.keySet()).first());
            } else if (what < 90) {
                play.sleep(edge(play, chance));
            } else if (what < 96) {
                play.sleep(chance.nextInt(chance.nextInt(10) == 0 ? 3000 : 150) * DecisionSimulation.MS);
            } else if (what < 98) {
                lie(play, line.newest, chance);
            } else {
                line.goesOn();
            }
        }
        play.sleep(3 * DecisionSimulation.SECOND);
        return play;
    }

    /** Up to the tick at which a window, a grace or a req's time ends, one before or one after. */
    private static long edge(DecisionSimulation play, Random chance) {
        long[] spans = {
            play.set.rollout().exposureWindowTicks(),
            play.set.limits().drainGraceTicks(),
            play.set.routes().get(1).deduplicationWindowTicks(),
            2 * DecisionSimulation.SECOND,
            800 * DecisionSimulation.MS
        };
        long since = play.all.isEmpty()
                ? play.now
                : play.all
                        .get(play.all.size() - 1 - chance.nextInt(Math.min(5, play.all.size())))
                        .at();
        return Math.max(0, since + spans[chance.nextInt(spans.length)] + chance.nextInt(3) - 1 - play.now);
    }

    /** Lists lie: of machines, states, builds, starts ahead of the clock; whole ones leave machines out. */
    private static void lie(DecisionSimulation play, int newest, Random chance) {
        EndpointState state = EndpointState.values()[chance.nextInt(3)];
        int build = Math.max(1, newest + chance.nextInt(3) - 1);
        Event.EndpointEntry m = DecisionSimulation.machine(
                "m" + chance.nextInt(9), build, chance.nextInt(2), state, play.now + chance.nextInt(70_000) - 60_000);
        if (chance.nextInt(4) == 0) {
            List<Event.EndpointEntry> some = new ArrayList<>(play.list.values().stream()
                    .filter(x -> chance.nextInt(4) > 0)
                    .sorted(java.util.Comparator.comparing(Event.EndpointEntry::endpointId))
                    .toList());
            some.removeIf(x -> x.endpointId().equals(m.endpointId()));
            some.add(m);
            play.step(List.of(new Event.EndpointListUpdate(
                    chance.nextBoolean() ? Event.EndpointListKind.SNAPSHOT : Event.EndpointListKind.CACHED, some)));
        } else {
            play.lists(m);
        }
    }

    /**
     * The release line: goes on with one of its releases, sends one back, or offers a further one. Now and then its news
     * are lost for a while; then it tells the end of what no longer stands, and all that stands, the older first.
     */
    private static final class Line {
        final DecisionSimulation play;
        final int most;
        final Random chance;
        final TreeMap<Integer, Integer> stages = new TreeMap<>();
        int newest = 1, released = 1;
        boolean lost;

        Line(DecisionSimulation play, int most, Random chance) {
            this.play = play;
            this.most = most;
            this.chance = chance;
        }

        void goesOn() {
            if (chance.nextInt(4) == 0) {
                lost = !lost;
                if (!lost) {
                    catchUp();
                }
            }
            if (stages.size() < most && (stages.isEmpty() || chance.nextBoolean())) {
                int build = ++newest;
                stages.put(build, 0);
                for (int i = 0; i < 2; i++) {
                    play.lists(DecisionSimulation.machine(
                            "b" + build + "." + i,
                            build,
                            i,
                            EndpointState.ACTIVE,
                            chance.nextBoolean() ? 0 : play.now));
                }
                trial(build);
                return;
            }
            int build = new ArrayList<>(stages.keySet()).get(chance.nextInt(stages.size()));
            int stage = stages.get(build);
            if (chance.nextInt(4) == 0) {
                stages.remove(build);
                over(build, stage, RolloutPhase.ROLLING_BACK);
                over(build, stage, RolloutPhase.ROLLED_BACK);
            } else if (stage + 1 < play.set.rollout().stageExposureCaps().size()) {
                stages.put(build, stage + 1);
                trial(build);
            } else {
                // all that is older ends with it, and the line says so first
                for (int older : List.copyOf(stages.headMap(build).keySet())) {
                    over(older, stages.remove(older), RolloutPhase.ROLLED_BACK);
                }
                stages.remove(build);
                released = build;
                if (!lost) {
                    play.tells(build, stage, 1, RolloutPhase.RELEASED);
                }
            }
        }

        private void trial(int build) {
            if (!lost) {
                int stage = stages.get(build);
                play.tells(build, stage, play.set.rollout().stageExposureCaps().get(stage), RolloutPhase.CANARY);
            }
        }

        private void over(int build, int stage, RolloutPhase phase) {
            if (!lost) {
                play.tells(build, stage, 0, phase);
            }
        }

        private void catchUp() {
            for (Event.RolloutUpdate n : List.copyOf(play.told.values())) {
                if (n.phase() == RolloutPhase.CANARY && !stages.containsKey(n.build()) && n.build() != released) {
                    play.tells(n.build(), n.stage(), 0, RolloutPhase.ROLLED_BACK);
                }
            }
            play.tells(released, 0, 1, RolloutPhase.RELEASED);
            List.copyOf(stages.keySet()).forEach(this::trial);
        }
    }

    private static void holds(int rule, long seed) {
        for (boolean lanes : new boolean[] {false, true}) {
            DecisionSimulation play = day(seed, lanes);
            assertEquals(List.of(), play.brokenOf(rule), lanes ? "lanes" : "alone");
            assertTrue(play.owed.isEmpty(), "every req has its answer");
            assertTrue(play.all.size() > 100, "a day on which something happens");
        }
    }

    @Property(tries = 60, seed = "1", shrinking = ShrinkingMode.OFF)
    void rule1EachReqHasOneAnswerInItsTimeAndWhatIsGivenUpHasItAtOnce(@ForAll long seed) {
        holds(1, seed);
    }

    @Property(tries = 60, seed = "2", shrinking = ShrinkingMode.OFF)
    void rule2NoEffectTwiceAndShedsAreHarmless(@ForAll long seed) {
        holds(2, seed);
    }

    @Property(tries = 60, seed = "3", shrinking = ShrinkingMode.OFF)
    void rule3NothingNewToADrainingOrGoneMachineAfterTheGrace(@ForAll long seed) {
        holds(3, seed);
    }

    @Property(tries = 200, seed = "5", shrinking = ShrinkingMode.OFF)
    void rule5ExposureStagesAndKeysAreKept(@ForAll long seed) {
        holds(5, seed);
    }

    /** Many fronts together, whose warm machines die while some come cold: the oracle is told what a machine usually did. */
    @Property(tries = 25, seed = "4", shrinking = ShrinkingMode.OFF)
    void rule4AllFrontsTogetherPushNoColdMachineOver(@ForAll long seed) {
        Random chance = new Random(seed);
        int fronts = 1 + chance.nextInt(24);
        int machines = 4 + chance.nextInt(12);
        int everyMs = 1 + chance.nextInt(12);
        boolean lanes = chance.nextBoolean();
        Settings set = DecisionSimulation.settings(false, 0, Settings.PromotionPolicy.VOTE_COUNT);
        List<DecisionSimulation> all = new ArrayList<>();
        for (int f = 0; f < fronts; f++) {
            all.add(new DecisionSimulation(
                    set, lanes ? new PartitionedDecider(set, f, RoutingDecider::new) : new RoutingDecider(set, f)));
            all.get(f).begin(machines);
        }
        long now = all.get(0).now;
        long coldAt = now + 15 * DecisionSimulation.SECOND;
        long end = coldAt + 5 * DecisionSimulation.SECOND;
        int stay = chance.nextInt(machines / 2);
        int cold = 1 + chance.nextInt(3);
        boolean told = false;
        int n = 0;
        while (now < end) {
            now += everyMs * DecisionSimulation.MS;
            if (!told && now >= coldAt) {
                told = true;
                for (DecisionSimulation p : all) {
                    p.now = now;
                    for (int i = stay; i < machines; i++) {
                        p.lists(DecisionSimulation.machine("m" + i, 1, i % 2, EndpointState.REMOVED, 0));
                    }
                    for (int i = 0; i < cold; i++) {
                        p.lists(DecisionSimulation.machine("c" + i, 1, i % 2, EndpointState.ACTIVE, now));
                    }
                }
            }
            DecisionSimulation p = all.get(chance.nextInt(fronts));
            p.now = now;
            for (DecisionSimulation.Sent s : List.copyOf(p.out)) {
                if (now >= s.at() + 40 * DecisionSimulation.MS) {
                    p.ends(s, AttemptOutcome.COMPLETED);
                }
            }
            p.req(chance.nextInt(2) * 2, "k" + n++);
        }
        double usual = set.limits().overloadWindowTicks() / (double) (everyMs * DecisionSimulation.MS) / machines;
        for (int i = 0; i < cold; i++) {
            String id = "c" + i;
            List<Long> at = all.stream()
                    .flatMap(p -> p.all.stream())
                    .filter(s -> s.machine().equals(id))
                    .map(DecisionSimulation.Sent::at)
                    .sorted()
                    .toList();
            for (int from = 0, to = 0; to < at.size(); to++) {
                while (at.get(from) <= at.get(to) - set.limits().overloadWindowTicks()) {
                    from++;
                }
                double warm = set.limits().warmUpInitialShare()
                        + (1 - set.limits().warmUpInitialShare())
                                * Math.min(
                                        1,
                                        (at.get(to) - coldAt)
                                                / (double) set.limits().warmUpTicks());
                // each front rounds what is under one try by chance: three standard deviations of their sum
                double most = set.limits().overloadMultiple() * warm * usual + 1.5 * Math.sqrt(fronts);
                assertTrue(
                        to - from + 1 <= most,
                        id + " got " + (to - from + 1) + " of " + most + ", " + fronts + " fronts");
            }
        }
    }

    /** Withholding must have its reason: with room under the cap, a key of the slice does go to the trial build. */
    @Property(tries = 20, seed = "7", shrinking = ShrinkingMode.OFF)
    void whatIsWithheldForTheCapIsForbidden(@ForAll long seed) {
        DecisionSimulation play = trial(seed, 0.5, 0);
        int went = 0;
        for (int i = 0; i < 300; i++) {
            play.now += 20 * DecisionSimulation.MS;
            String id = play.req(0, "k" + i);
            assertTrue(play.outOf(id) != null, play.now + " not sent: " + play.lastDone);
            went += play.outOf(id) != null && play.outOf(id).build() == 2 ? 1 : 0;
            play.ends(play.outOf(id), AttemptOutcome.COMPLETED);
        }
        assertTrue(went > 0.3 * 300 && went < 0.5 * 300, "share of the trial build " + went / 300.0);
        assertEquals(List.of(), play.broken);
    }

    static DecisionSimulation trial(long seed, double cap, int guarded) {
        DecisionSimulation play = new DecisionSimulation(
                DecisionSimulation.settings(false, guarded, Settings.PromotionPolicy.FIRST_VOTE), seed);
        play.begin(4);
        for (int i = 0; i < 4; i++) {
            play.lists(DecisionSimulation.machine("t" + i, 2, i % 2, EndpointState.ACTIVE, 1));
        }
        play.now += 20 * DecisionSimulation.SECOND;
        play.tells(2, guarded > 0 ? 0 : 1, cap, RolloutPhase.CANARY);
        play.pass(DecisionSimulation.SECOND);
        return play;
    }

    @Property(tries = 10, seed = "3", shrinking = ShrinkingMode.OFF)
    void theSameEventsGiveTheSameActions(@ForAll long seed) {
        List<List<Action>> said = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            DecisionSimulation play = trial(seed, 0.5, 0);
            play.traffic(3 * DecisionSimulation.SECOND, 10, 1000, 0, 0, new Random(seed));
            said.add(new ArrayList<>(play.lastDone));
            said.get(run).addAll(play.answers);
        }
        assertEquals(said.get(0), said.get(1));
    }

    @Property(tries = 1, seed = "1")
    void slicesOfTwoBuildsAreUnrelated() {
        int both = 0;
        int first = 0;
        List<DecisionSimulation> plays = List.of(trial(1, 0.5, 0), trial(2, 0.5, 0));
        plays.get(1)
                .lists(
                        DecisionSimulation.machine("u0", 3, 0, EndpointState.ACTIVE, 1),
                        DecisionSimulation.machine("u1", 3, 1, EndpointState.ACTIVE, 1),
                        DecisionSimulation.machine("u2", 3, 0, EndpointState.ACTIVE, 1),
                        DecisionSimulation.machine("u3", 3, 1, EndpointState.ACTIVE, 1));
        plays.get(1).tells(3, 1, 0.5, RolloutPhase.CANARY);
        plays.get(1).pass(DecisionSimulation.SECOND);
        for (int i = 0; i < 600; i++) {
            boolean[] in = new boolean[2];
            for (int p = 0; p < 2; p++) {
                DecisionSimulation play = plays.get(p);
                play.now += 20 * DecisionSimulation.MS;
                DecisionSimulation.Sent s = play.outOf(play.req(0, "key" + i));
                in[p] = s.build() == 2 + p;
                play.ends(s, AttemptOutcome.COMPLETED);
            }
            first += in[0] ? 1 : 0;
            both += in[0] && in[1] ? 1 : 0;
        }
        double overlap = both / (double) first;
        assertTrue(overlap > 0.25 && overlap < 0.55, "overlap " + overlap);
        assertFalse(first == 0);
    }
}
