package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import laurelkeel.api.Action;
import laurelkeel.api.Action.Verdict;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Settings;
import org.junit.jupiter.api.Test;

/** One small test for each failure found on the bench. */
class FaultHandlingTest {

    @Test
    void aBuildCalledBackAfterItsReleaseGetsNothing() {
        DecisionSimulation play =
                new DecisionSimulation(DecisionSimulation.settings(false, 0, Settings.PromotionPolicy.VOTE_COUNT), 1);
        play.begin(2);
        play.tells(2, 2, 1, RolloutPhase.CANARY);
        play.lists(
                DecisionSimulation.machine("t0", 2, 0, EndpointState.ACTIVE, 1),
                DecisionSimulation.machine("m0", 1, 0, EndpointState.REMOVED, 0),
                DecisionSimulation.machine("m1", 1, 1, EndpointState.REMOVED, 0));
        play.tells(2, 2, 1, RolloutPhase.RELEASED);
        assertNotNull(play.outOf(play.req(0, "a")), "the released build serves");
        play.tells(2, 2, 0, RolloutPhase.ROLLING_BACK);
        assertNull(play.outOf(play.req(0, "b")));
        assertEquals(List.of(), play.broken);
    }

    /** Two machines of a build on trial beside four, with a cap of a half. */
    private static DecisionSimulation trialOfHalf() {
        DecisionSimulation play =
                new DecisionSimulation(DecisionSimulation.settings(false, 0, Settings.PromotionPolicy.VOTE_COUNT), 1);
        play.begin(4);
        play.tells(2, 1, 0.5, RolloutPhase.CANARY);
        play.lists(
                DecisionSimulation.machine("t0", 2, 0, EndpointState.ACTIVE, 1),
                DecisionSimulation.machine("t1", 2, 0, EndpointState.ACTIVE, 1));
        return play;
    }

    @Test
    void aKeyWhoseAnswerFromTheTrialWasSpoiltDoesNotGoBack() {
        DecisionSimulation play = trialOfHalf();
        int spoilt = 0;
        for (int i = 0; i < 60; i++) {
            play.pass(DecisionSimulation.SECOND / 20);
            String key = "k" + i;
            DecisionSimulation.Sent first = play.outOf(play.req(0, key));
            if (first != null && first.build() == 2) {
                spoilt++;
                play.ends(first, i % 2 == 0 ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.TIMED_OUT);
                DecisionSimulation.Sent again = play.outOf(first.req());
                assertTrue(
                        again == null || again.build() == 2,
                        key + " had its answer of build 2, though nobody could read it");
                DecisionSimulation.Sent next = play.outOf(play.req(0, key));
                assertTrue(next == null || next.build() == 2, key + " came again");
            } else if (first != null) {
                play.ends(first, AttemptOutcome.COMPLETED);
            }
        }
        assertTrue(spoilt > 3, "the trial had traffic: " + spoilt);
    }

    /** Its answer may be written already, and lie unread on a connection that has fallen silent. */
    @Test
    void aKeyWithATryOutAtTheTrialDoesNotGoBackMeanwhile() {
        DecisionSimulation play = trialOfHalf();
        int out = 0;
        for (int i = 0; i < 60; i++) {
            play.pass(DecisionSimulation.SECOND / 20);
            String key = "k" + i;
            DecisionSimulation.Sent first = play.outOf(play.req(0, key));
            if (first != null && first.build() == 2) {
                out++;
                // more of them than the cap lets through
                for (int again = 0; again < 20; again++) {
                    DecisionSimulation.Sent next = play.outOf(play.req(0, key));
                    assertTrue(
                            next == null || next.build() == 2,
                            key + " came again, and went to build " + (next == null ? 0 : next.build()));
                    if (next != null) {
                        play.ends(next, AttemptOutcome.CONNECT_FAILED);
                    }
                }
                play.ends(first, AttemptOutcome.FAILED);
                assertEquals(List.of(), play.broken);
            } else if (first != null) {
                play.ends(first, AttemptOutcome.COMPLETED);
            }
        }
        assertTrue(out > 3, "the trial had traffic: " + out);
    }

    /** On the sockets such machines drew a fifth of all tries, and one of them had a good build sent back. */
    @Test
    void aMachineThatErrsAloneLeavesTheRotationAndCondemnsNoBuild() {
        DecisionSimulation play =
                new DecisionSimulation(DecisionSimulation.settings(false, 0, Settings.PromotionPolicy.VOTE_COUNT), 1);
        play.begin(6);
        play.tells(2, 1, 0.5, RolloutPhase.CANARY);
        play.lists(
                DecisionSimulation.machine("t0", 2, 0, EndpointState.ACTIVE, 1),
                DecisionSimulation.machine("t1", 2, 0, EndpointState.ACTIVE, 1));
        Set<String> sick = Set.of("t0", "m0");
        int[] tries = new int[2], late = new int[2];
        for (int i = 0; i < 3000; i++) {
            play.pass(DecisionSimulation.SECOND / 100);
            DecisionSimulation.Sent sent = play.outOf(play.req(0, "k" + i));
            while (sent != null) {
                boolean ill = sick.contains(sent.machine());
                tries[ill ? 0 : 1]++;
                late[ill ? 0 : 1] += i > 500 ? 1 : 0;
                play.ends(sent, ill ? AttemptOutcome.FAILED : AttemptOutcome.COMPLETED);
                sent = play.outOf(sent.req());
            }
        }
        assertTrue(tries[0] > 5, "they had their part at first: " + tries[0]);
        assertTrue(late[0] < late[1] / 20, "two of eight machines had " + late[0] + " tries, the others " + late[1]);
        assertTrue(
                play.votes.stream().noneMatch(v -> v.verdict() == Verdict.ROLL_BACK),
                "the build is as good as its other machine");
        assertEquals(List.of(), play.broken);
    }

    @Test
    void aBuildThatLeavesTheListAndReturnsHasNoNewAllowance() {
        DecisionSimulation play =
                new DecisionSimulation(DecisionSimulation.settings(false, 0, Settings.PromotionPolicy.VOTE_COUNT), 1);
        play.begin(4);
        for (int flaps = 0; flaps < 6; flaps++) {
            play.lists(DecisionSimulation.machine("t0", 2, 0, EndpointState.ACTIVE, 1));
            play.pass(DecisionSimulation.SECOND / 5);
            // the last key's slice asks for more than the cap allows
            String key = "k" + flaps;
            for (int i = 0; i < 100; i++) {
                DecisionSimulation.Sent sent = play.outOf(play.req(0, key));
                boolean there = sent != null && sent.build() == 2;
                key = there ? key : "k" + flaps + "-" + i;
                if (sent != null) {
                    play.ends(sent, AttemptOutcome.COMPLETED);
                }
            }
            play.lists(DecisionSimulation.machine("t0", 2, 0, EndpointState.REMOVED, 0));
        }
        assertTrue(play.all.stream().anyMatch(s -> s.build() == 2), "ahead of its news it has its share");
        assertEquals(List.of(), play.broken);
    }

    @Test
    void aColdMachineIsNotFloodedWhenAllElseDies() {
        DecisionSimulation play =
                new DecisionSimulation(DecisionSimulation.settings(false, 0, Settings.PromotionPolicy.VOTE_COUNT), 1);
        play.begin(4);
        play.traffic(4 * DecisionSimulation.SECOND, 25, 1000, 0, 0, new Random(5));
        play.lists(
                DecisionSimulation.machine("c", 1, 0, EndpointState.ACTIVE, play.now),
                DecisionSimulation.machine("m0", 1, 0, EndpointState.REMOVED, 0),
                DecisionSimulation.machine("m1", 1, 1, EndpointState.REMOVED, 0),
                DecisionSimulation.machine("m2", 1, 0, EndpointState.REMOVED, 0),
                DecisionSimulation.machine("m3", 1, 1, EndpointState.REMOVED, 0));
        long from = play.now;
        play.traffic(2 * DecisionSimulation.SECOND, 25, 1000, 0, 0, new Random(6));
        long sent = play.all.stream()
                .filter(s -> s.machine().equals("c") && s.at() > from)
                .count();
        assertTrue(sent > 0 && sent < 30, "80 reqs came, 20 in the span are a machine's usual: sent " + sent);
    }

    @Test
    void manyQuietFrontsTogetherSpareAColdMachine() {
        int sent = 0;
        for (int front = 0; front < 60; front++) {
            DecisionSimulation play = new DecisionSimulation(
                    DecisionSimulation.settings(false, 0, Settings.PromotionPolicy.VOTE_COUNT), front);
            play.begin(30);
            play.traffic(10 * DecisionSimulation.SECOND, 1000, 1000, 0, 0, new Random(front));
            for (int i = 0; i < 30; i++) {
                play.lists(DecisionSimulation.machine("m" + i, 1, 0, EndpointState.REMOVED, 0));
            }
            play.lists(DecisionSimulation.machine("c", 1, 0, EndpointState.ACTIVE, play.now));
            play.traffic(2 * DecisionSimulation.SECOND, 1000, 1000, 0, 0, new Random(front));
            sent += play.all.stream().filter(s -> s.machine().equals("c")).count();
        }
        assertTrue(sent > 0 && sent <= 10, "120 reqs came, 4 in the span are a machine's usual: sent " + sent);
    }

    @Test
    void frontsBeginTheirTurnsAtDifferentMachines() {
        Set<String> first = new HashSet<>();
        for (int front = 0; front < 20; front++) {
            DecisionSimulation play = new DecisionSimulation(
                    DecisionSimulation.settings(false, 0, Settings.PromotionPolicy.VOTE_COUNT), front);
            play.begin(30);
            first.add(play.outOf(play.req(0, "k")).machine());
        }
        assertTrue(first.size() > 8, "20 fronts met " + first);
    }

    @Test
    void aSmallIdleMachineGetsItsTurnsToo() {
        DecisionSimulation play =
                new DecisionSimulation(DecisionSimulation.settings(false, 0, Settings.PromotionPolicy.VOTE_COUNT), 1);
        play.begin(2);
        play.lists(new Event.EndpointEntry("small", 1, 0, 0, 0, 0.5, EndpointState.ACTIVE, 0));
        play.traffic(5 * DecisionSimulation.SECOND, 100, 500, 0, 0, new Random(1));
        assertTrue(play.all.stream().filter(s -> s.machine().equals("small")).count() >= 5, "of 50 reqs");
    }

    @Test
    void aFrontThatShedsFindsOutWhenTheFleetIsWellAgain() {
        DecisionSimulation play =
                new DecisionSimulation(DecisionSimulation.settings(false, 0, Settings.PromotionPolicy.VOTE_COUNT), 1);
        play.begin(2);
        play.traffic(5 * DecisionSimulation.SECOND, 20, 1000, 0, 0, new Random(1));
        play.traffic(6 * DecisionSimulation.SECOND, 20, 15_000, 0, 0, new Random(2));
        play.traffic(10 * DecisionSimulation.SECOND, 20, 1000, 0, 0, new Random(3));
        play.answers.clear();
        play.traffic(5 * DecisionSimulation.SECOND, 20, 1000, 0, 0, new Random(4));
        assertEquals(0, play.answers.size(), "sheds in calm");
    }

    @Test
    void badReqsThatFailOnBothBuildsSendNoBuildBack() {
        DecisionSimulation play = RequestRulesTest.trial(5, 0.5, 0);
        play.traffic(8 * DecisionSimulation.SECOND, 20, 1000, 0.3, 0.3, new Random(5));
        play.tells(2, 2, 1, RolloutPhase.RELEASED);
        play.lists(
                DecisionSimulation.machine("m0", 1, 0, EndpointState.REMOVED, 0),
                DecisionSimulation.machine("m1", 1, 1, EndpointState.REMOVED, 0));
        for (int i = 0; i < 300; i++) {
            play.now += 20 * DecisionSimulation.MS;
            String id = play.req(0, "b" + i);
            while (play.outOf(id) != null) {
                play.ends(play.outOf(id), i % 2 == 0 ? AttemptOutcome.FAILED : AttemptOutcome.COMPLETED);
            }
        }
        assertTrue(play.votes.stream().noneMatch(v -> v.verdict() == Verdict.ROLL_BACK), play.votes.toString());
    }

    @Test
    void aFullFleetIsNotAskedByEveryReqAtEveryMachine() {
        DecisionSimulation play =
                new DecisionSimulation(DecisionSimulation.settings(false, 0, Settings.PromotionPolicy.VOTE_COUNT), 1);
        play.begin(6);
        for (int i = 0; i < 200; i++) {
            play.now += 10 * DecisionSimulation.MS;
            String id = play.req(0, "k" + i);
            while (play.outOf(id) != null) {
                play.ends(play.outOf(id), AttemptOutcome.OVERLOADED);
            }
        }
        assertTrue(play.all.size() < 200 * 1.3, "tries " + play.all.size());
    }

    @Test
    void standingQueuesAreAnsweredBySheddingEarly() {
        DecisionSimulation play =
                new DecisionSimulation(DecisionSimulation.settings(false, 0, Settings.PromotionPolicy.VOTE_COUNT), 1);
        play.begin(2);
        play.traffic(5 * DecisionSimulation.SECOND, 20, 1000, 0, 0, new Random(1));
        assertEquals(0, play.answers.size(), "nothing is shed in calm");
        play.traffic(6 * DecisionSimulation.SECOND, 20, 15_000, 0, 0, new Random(2));
        assertTrue(
                play.answers.stream()
                                .filter(a -> a instanceof Action.RejectRequest)
                                .count()
                        > 50,
                "sheds");
    }

    @Test
    void aBuildThatFailsIsVotedBackAndAGoodOneOn() {
        assertTrue(judged(0.2, 7).contains(Verdict.ROLL_BACK));
        List<Verdict> good = judged(0, 7);
        assertTrue(good.contains(Verdict.PROMOTE) && !good.contains(Verdict.ROLL_BACK), good.toString());
    }

    /** Of a hundred fronts none has tries enough of its own before a build that fails is released. */
    @Test
    void theCountsOfAllFrontsSpeakWhereOneSeesFewTriesAndAnErrorOfItsOwn() {
        assertTrue(counted(AttemptOutcome.FAILED, 3, 8).contains(Verdict.ROLL_BACK));
        assertFalse(counted(AttemptOutcome.FAILED, 0, 8).contains(Verdict.ROLL_BACK), "an error of its own alone");
        assertFalse(
                counted(AttemptOutcome.TIMED_OUT, 3, 8).contains(Verdict.ROLL_BACK),
                "cold machines let tries time out, and that is counted");
        assertFalse(
                counted(AttemptOutcome.FAILED, 3, 2).contains(Verdict.ROLL_BACK),
                "half of so few machines may be sick by themselves");
    }

    /** All verdicts of a front that sees a req each half second, where the platform counts some failures of the trial build. */
    private static Set<Verdict> counted(AttemptOutcome first, int failures, int machines) {
        DecisionSimulation play =
                new DecisionSimulation(DecisionSimulation.settings(false, 0, Settings.PromotionPolicy.VOTE_COUNT), 1);
        play.begin(machines);
        play.tells(2, 1, 0.5, RolloutPhase.CANARY);
        for (int i = 0; i < machines; i++) {
            play.lists(DecisionSimulation.machine("t" + i, 2, 0, EndpointState.ACTIVE, 0));
        }
        int trials = 0;
        for (int i = 0; i < 30; i++) {
            play.pass(DecisionSimulation.SECOND / 2);
            play.step(List.of(
                    new Event.BuildStatistics(1, 0, 30, 0, 100, 0),
                    new Event.BuildStatistics(2, 0, 6, failures, 100, 0)));
            DecisionSimulation.Sent sent = play.outOf(play.req(0, "k" + i));
            if (sent != null) {
                boolean fails = sent.build() == 2 && trials++ == 0;
                play.ends(sent, fails ? first : AttemptOutcome.COMPLETED);
                DecisionSimulation.Sent again = play.outOf(sent.req());
                if (again != null) {
                    play.ends(again, AttemptOutcome.COMPLETED);
                }
            }
        }
        assertTrue(trials > 1 && trials < 20, "few tries: " + trials);
        Set<Verdict> all = new HashSet<>();
        play.votes.forEach(v -> all.add(v.verdict()));
        return all;
    }

    @Test
    void aBuildThatFailsOnlyAfterItsReleaseIsVotedBack() {
        DecisionSimulation play = RequestRulesTest.trial(4, 0.5, 0);
        play.traffic(6 * DecisionSimulation.SECOND, 20, 1000, 0, 0, new Random(3));
        play.tells(2, 2, 1, RolloutPhase.RELEASED);
        play.votes.clear();
        play.traffic(6 * DecisionSimulation.SECOND, 20, 1000, 0, 0.2, new Random(3));
        assertTrue(play.votes.stream().anyMatch(v -> v.verdict() == Verdict.ROLL_BACK), play.votes.toString());
    }

    @Test
    void aBuildThatAnswersWronglyIsVotedBackByComplaintsAlone() {
        assertTrue(complained(0.25).contains(Verdict.ROLL_BACK));
        assertFalse(complained(0).contains(Verdict.ROLL_BACK), "as many complaints of both builds");
    }

    /** Verdicts where so many of the trial build's answers, and 2% of all, are complained of. */
    private static List<Verdict> complained(double wrong) {
        DecisionSimulation play = RequestRulesTest.trial(9, 0.5, 0);
        Random chance = new Random(9);
        for (int i = 0; i < 400; i++) {
            play.now += 20 * DecisionSimulation.MS;
            DecisionSimulation.Sent s = play.outOf(play.req(0, "k" + i));
            play.now += 5 * DecisionSimulation.MS;
            play.ends(s, AttemptOutcome.COMPLETED);
            if (chance.nextDouble() < 0.02 + (s.build() == 2 ? wrong : 0)) {
                play.step(List.of(new Event.ComplaintReceived(s.machine(), play.now - s.at(), 0)));
            }
        }
        return play.votes.stream().map(Action.CastVote::verdict).toList();
    }

    @Test
    void aBuildThatIsSlowByItselfIsVotedBackAndOneAmongAllSlowIsToo() {
        assertTrue(slowed(3000, 1000).contains(Verdict.ROLL_BACK), "slow beside the other");
        assertTrue(slowed(2200, 2200).contains(Verdict.ROLL_BACK), "all slow since it has traffic");
        assertFalse(slowed(1000, 1000).contains(Verdict.ROLL_BACK), "as before");
    }

    /** Verdicts where tries take 100 ms before the trial and so long in it, at the trial build and beside it. */
    private static List<Verdict> slowed(long trial, long beside) {
        DecisionSimulation play =
                new DecisionSimulation(DecisionSimulation.settings(false, 0, Settings.PromotionPolicy.FIRST_VOTE), 6);
        play.begin(4);
        Random chance = new Random(6);
        paced(play, 12 * DecisionSimulation.SECOND, 1000, 1000, chance);
        for (int i = 0; i < 4; i++) {
            play.lists(DecisionSimulation.machine("t" + i, 2, i % 2, EndpointState.ACTIVE, 1));
        }
        play.tells(2, 1, 0.5, RolloutPhase.CANARY);
        paced(play, 18 * DecisionSimulation.SECOND, trial, beside, chance);
        return play.votes.stream().map(Action.CastVote::verdict).toList();
    }

    private static void paced(DecisionSimulation play, long span, long trial, long beside, Random chance) {
        for (long end = play.now + span; play.now < end; ) {
            play.now += 20 * DecisionSimulation.MS;
            for (DecisionSimulation.Sent s : List.copyOf(play.out)) {
                if (play.now >= s.at() + (s.build() == 2 ? trial : beside) + chance.nextInt(200)) {
                    play.ends(s, AttemptOutcome.COMPLETED);
                }
            }
            play.req(0, "k" + chance.nextInt(400));
        }
    }

    @Test
    void keysOfAnyLettersAreCutEvenly() {
        DecisionSimulation play = RequestRulesTest.trial(4, 0.5, 0);
        int went = 0;
        for (int i = 0; i < 200; i++) {
            play.now += 20 * DecisionSimulation.MS;
            DecisionSimulation.Sent s = play.outOf(play.req(0, "" + (char) ('à' + i % 20) + (char) ('à' + i / 20)));
            went += s.build() == 2 ? 1 : 0;
            play.ends(s, AttemptOutcome.COMPLETED);
        }
        assertTrue(went > 40 && went < 120, "to the trial build " + went);
    }

    @Test
    void aReqWhoseTrialTryFailedGoesToTheEarlierBuild() {
        DecisionSimulation play = RequestRulesTest.trial(4, 0.5, 0);
        for (int i = 0; i < 200; i++) {
            play.now += 20 * DecisionSimulation.MS;
            String id = play.req(0, "x" + i);
            DecisionSimulation.Sent first = play.outOf(id);
            play.ends(first, first.build() == 2 ? AttemptOutcome.FAILED : AttemptOutcome.COMPLETED);
            if (first.build() == 2) {
                assertEquals(1, play.outOf(id).build());
                return;
            }
        }
        throw new AssertionError("no key went to the trial build");
    }

    @Test
    void aSilentMachineLeavesTheRotationAndComesBack() {
        DecisionSimulation play =
                new DecisionSimulation(DecisionSimulation.settings(false, 0, Settings.PromotionPolicy.VOTE_COUNT), 1);
        play.begin(4);
        for (int i = 0; i < 600; i++) {
            play.now += 20 * DecisionSimulation.MS;
            DecisionSimulation.Sent s = play.outOf(play.req(2, "x" + i));
            play.now += 100 * DecisionSimulation.MS;
            play.ends(
                    s, s.machine().equals("m0") && i < 150 ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.COMPLETED);
        }
        long sick = play.all.subList(20, 150).stream()
                .filter(s -> s.machine().equals("m0"))
                .count();
        long well = play.all.subList(500, 600).stream()
                .filter(s -> s.machine().equals("m0"))
                .count();
        assertTrue(sick < 20, "while sick " + sick);
        assertFalse(well == 0, "it is met again");
    }

    private static List<Verdict> judged(double errors, long seed) {
        DecisionSimulation play = RequestRulesTest.trial(seed, 0.5, 0);
        play.traffic(6 * DecisionSimulation.SECOND, 20, 1000, 0, errors, new Random(seed));
        return play.votes.stream().map(Action.CastVote::verdict).toList();
    }
}
