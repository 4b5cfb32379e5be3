package laurelkeel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import laurelkeel.api.Action;
import laurelkeel.api.Event;
import laurelkeel.api.Event.MachineState;
import laurelkeel.api.Event.Outcome;
import laurelkeel.api.Event.Phase;
import laurelkeel.api.Settings;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** The module beside a plain model of the rules, on generated streams of events. */
class RulesTest {
    private static final Outcome[] ENDS = {Outcome.COMPLETED, Outcome.COMPLETED, Outcome.COMPLETED, Outcome.COMPLETED,
        Outcome.ERROR, Outcome.FULL, Outcome.NO_CONNECTION, Outcome.BROKEN, Outcome.NOT_SENT};

    @Property(tries = 60, seed = "20261201", shrinking = ShrinkingMode.OFF)
    void rulesHoldWhateverComes(@ForAll long seed, @ForAll boolean perRoute, @ForAll boolean guarded) {
        Random chance = new Random(seed);
        Play play = new Play(Play.settings(perRoute, guarded ? 1 : 0, Settings.Control.ANY), seed);
        play.begin(6);
        int build = 1;
        for (int i = 0; i < 1500; i++) {
            int what = chance.nextInt(100);
            if (what < 50) {
                play.req(chance.nextInt(3), chance.nextInt(5) == 0 ? null : "k" + chance.nextInt(60));
            } else if (what < 85 && !play.out.isEmpty()) {
                play.ends(play.out.get(chance.nextInt(play.out.size())), ENDS[chance.nextInt(ENDS.length)]);
            } else if (what < 96) {
                play.pass(chance.nextInt(chance.nextInt(10) == 0 ? 3000 : 150) * Play.MS);
            } else if (what < 98) {
                MachineState state = MachineState.values()[chance.nextInt(3)];
                boolean fresh = chance.nextBoolean();
                play.lists(Play.machine("m" + chance.nextInt(9), fresh ? build + chance.nextInt(2) : build,
                        chance.nextInt(2), state, play.now - chance.nextInt(60_000)));
            } else {
                build = advance(play, build, chance);
            }
        }
        play.pass(3 * Play.SECOND);
        assertEquals(List.of(), play.broken);
        assertTrue(play.owed.isEmpty(), "every req has its answer");
    }

    private static int advance(Play play, int build, Random chance) {
        Event.ReleaseNews n = play.news;
        List<Double> caps = play.set.rollout().stageCaps();
        if (n.phase() == Phase.RELEASED && build > 1 && chance.nextInt(3) == 0) {
            play.tells(build, n.stage(), 0, Phase.GOING_BACK);
            return build;
        }
        if (n.phase() != Phase.TRIAL) {
            play.tells(build + 1, 0, caps.get(0), Phase.TRIAL);
            return build + 1;
        }
        if (chance.nextInt(4) == 0) {
            play.tells(build, n.stage(), 0, Phase.GOING_BACK);
            play.tells(build, n.stage(), 0, Phase.WITHDRAWN);
        } else if (n.stage() + 1 < caps.size()) {
            play.tells(build, n.stage() + 1, caps.get(n.stage() + 1), Phase.TRIAL);
        } else {
            play.tells(build, n.stage(), 1, Phase.RELEASED);
        }
        return build;
    }

    /** Withholding must have its reason: with room under the cap, a key of the slice does go to the trial build. */
    @Property(tries = 20, seed = "7", shrinking = ShrinkingMode.OFF)
    void whatIsWithheldForTheCapIsForbidden(@ForAll long seed) {
        Play play = trial(seed, 0.5, 0);
        int went = 0;
        for (int i = 0; i < 300; i++) {
            play.now += 20 * Play.MS;
            String id = play.req(0, "k" + i);
            assertTrue(play.outOf(id) != null, play.now + " not sent: " + play.lastDone);
            went += play.outOf(id) != null && play.outOf(id).build() == 2 ? 1 : 0;
            play.ends(play.outOf(id), Outcome.COMPLETED);
        }
        assertTrue(went > 0.3 * 300 && went < 0.5 * 300, "share of the trial build " + went / 300.0);
        assertEquals(List.of(), play.broken);
    }

    static Play trial(long seed, double cap, int guarded) {
        Play play = new Play(Play.settings(false, guarded, Settings.Control.ANY), seed);
        play.begin(4);
        for (int i = 0; i < 4; i++) {
            play.lists(Play.machine("t" + i, 2, i % 2, MachineState.LIVE, 1));
        }
        play.now += 20 * Play.SECOND;
        play.tells(2, guarded > 0 ? 0 : 1, cap, Phase.TRIAL);
        play.pass(Play.SECOND);
        return play;
    }

    @Property(tries = 10, seed = "3", shrinking = ShrinkingMode.OFF)
    void theSameEventsGiveTheSameActions(@ForAll long seed) {
        List<List<Action>> said = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            Play play = trial(seed, 0.5, 0);
            play.traffic(3 * Play.SECOND, 10, 1000, 0, 0, new Random(seed));
            said.add(new ArrayList<>(play.lastDone));
            said.get(run).addAll(play.answers);
        }
        assertEquals(said.get(0), said.get(1));
    }

    @Property(tries = 1, seed = "1")
    void slicesOfTwoBuildsAreUnrelated() {
        int both = 0;
        int first = 0;
        List<Play> plays = List.of(trial(1, 0.5, 0), trial(2, 0.5, 0));
        plays.get(1).lists(Play.machine("u0", 3, 0, MachineState.LIVE, 1), Play.machine("u1", 3, 1, MachineState.LIVE, 1),
                Play.machine("u2", 3, 0, MachineState.LIVE, 1), Play.machine("u3", 3, 1, MachineState.LIVE, 1));
        plays.get(1).tells(3, 1, 0.5, Phase.TRIAL);
        plays.get(1).pass(Play.SECOND);
        for (int i = 0; i < 600; i++) {
            boolean[] in = new boolean[2];
            for (int p = 0; p < 2; p++) {
                Play play = plays.get(p);
                play.now += 20 * Play.MS;
                Play.Sent s = play.outOf(play.req(0, "key" + i));
                in[p] = s.build() == 2 + p;
                play.ends(s, Outcome.COMPLETED);
            }
            first += in[0] ? 1 : 0;
            both += in[0] && in[1] ? 1 : 0;
        }
        double overlap = both / (double) first;
        assertTrue(overlap > 0.25 && overlap < 0.55, "overlap " + overlap);
        assertFalse(first == 0);
    }
}
