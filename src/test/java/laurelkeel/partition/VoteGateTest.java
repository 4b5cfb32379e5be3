package laurelkeel.partition;

import static laurelkeel.partition.ConcurrentRolloutsTest.update;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import laurelkeel.api.Action;
import laurelkeel.api.Action.CastVote;
import laurelkeel.api.Action.Verdict;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Ticks;
import laurelkeel.partition.PartitionedDecider.Attribution;
import org.junit.jupiter.api.Test;

class VoteGateTest {
    private static final long VOTE_LIFETIME_TICKS = 5 * Ticks.PER_SECOND;
    private static final CastVote PROMOTE = new CastVote(2, 0, Verdict.PROMOTE);
    private static final CastVote ROLL_BACK = new CastVote(2, 0, Verdict.ROLL_BACK);

    private final VoteGate gate = new VoteGate(VOTE_LIFETIME_TICKS);
    private final ConcurrentRollouts rollouts = new ConcurrentRollouts(List.of(0.1));

    private List<CastVote> rollBackVotes(long nowTicks) {
        return gate.rollBackVotes(rollouts, nowTicks).stream()
                .filter(action -> action instanceof CastVote)
                .map(action -> (CastVote) action)
                .toList();
    }

    @Test
    void noVoteIsWithheldIfNoRegressionIsAttributed() {
        gate.setAttribution(2, Attribution.CLEARED);
        gate.setAttribution(3, Attribution.NONE);
        assertNull(gate.reasonToWithhold(PROMOTE, 0));
        assertNull(gate.reasonToWithhold(new CastVote(3, 0, Verdict.ROLL_BACK), 0));
        assertNull(gate.reasonToWithhold(new CastVote(3, 0, Verdict.HOLD), 0));
    }

    @Test
    void promotionIsWithheldWhileARegressionIsOpenOrItsBuildIsNotRolledBack() {
        gate.setAttribution(3, Attribution.OPEN);
        assertNotNull(gate.reasonToWithhold(PROMOTE, 0));
        gate.setAttribution(3, Attribution.GUILTY);
        assertNotNull(gate.reasonToWithhold(PROMOTE, 0));
        gate.removeBuild(3);
        assertNull(gate.reasonToWithhold(PROMOTE, 0));
        gate.setAttribution(2, Attribution.GUILTY);
        assertNotNull(gate.reasonToWithhold(PROMOTE, 0));
    }

    @Test
    void aVoteToRollBackABuildThatIsNotGuiltyIsWithheldForFifteenSeconds() {
        long startTicks = 100;
        gate.setAttribution(3, Attribution.GUILTY);
        assertNotNull(gate.reasonToWithhold(ROLL_BACK, startTicks));
        assertNotNull(gate.reasonToWithhold(ROLL_BACK, startTicks + 15 * Ticks.PER_SECOND - 1));
        assertNull(gate.reasonToWithhold(ROLL_BACK, startTicks + 15 * Ticks.PER_SECOND));
    }

    @Test
    void aVoteToRollBackTheGuiltyBuildIsNotWithheld() {
        gate.setAttribution(2, Attribution.GUILTY);
        gate.setAttribution(3, Attribution.OPEN);
        assertNull(gate.reasonToWithhold(ROLL_BACK, 0));
    }

    @Test
    void votesToRollBackACanaryThatIsGuiltyOrSetAsideAreCastAndRenewed() {
        rollouts.apply(update(2, 1, 0.1, RolloutPhase.CANARY), 0);
        rollouts.apply(update(3, 0, 0.1, RolloutPhase.CANARY), 0);
        gate.setAttribution(2, Attribution.GUILTY);
        gate.setAttribution(3, Attribution.SET_ASIDE);
        assertEquals(
                List.of(new CastVote(2, 1, Verdict.ROLL_BACK), new CastVote(3, 0, Verdict.ROLL_BACK)),
                rollBackVotes(0));
        assertEquals(List.of(), rollBackVotes(VOTE_LIFETIME_TICKS * 6 / 10 - 1));
        assertEquals(2, rollBackVotes(VOTE_LIFETIME_TICKS * 6 / 10).size());
        rollouts.apply(update(2, 1, 0, RolloutPhase.ROLLING_BACK), 0);
        rollouts.apply(update(3, 0, 0, RolloutPhase.ROLLED_BACK), 0);
        assertEquals(List.of(), rollBackVotes(VOTE_LIFETIME_TICKS * 2));
    }

    @Test
    void onlyTheFirstVoteIsLogged() {
        rollouts.apply(update(2, 0, 0.1, RolloutPhase.CANARY), 0);
        gate.setAttribution(2, Attribution.GUILTY);
        assertEquals(
                List.of(
                        new CastVote(2, 0, Verdict.ROLL_BACK),
                        new Action.WriteLog("votes to roll back build 2: a regression is attributed to it")),
                gate.rollBackVotes(rollouts, 0));
        assertEquals(List.of(new CastVote(2, 0, Verdict.ROLL_BACK)), gate.rollBackVotes(rollouts, VOTE_LIFETIME_TICKS));
    }
}
