package laurelkeel.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import laurelkeel.records.RecordTerms.RolloutPhase;
import laurelkeel.testbed.ServiceTerms.Verdict;
import org.junit.jupiter.api.Test;

class RolloutTest {
    private final Rollout rollout = new Rollout(BuildProfile.healthy(2), RolloutPhase.CANARY, 0.1, 1_000);

    @Test
    void latestVoteOfANodeCountsUntilItExpires() {
        rollout.vote(0, 0, Verdict.ROLL_BACK, 2_000);
        rollout.vote(1, 0, Verdict.ROLL_BACK, 2_000);
        assertEquals(2, rollout.countVotes(Verdict.ROLL_BACK, 1_999));
        assertEquals(0, rollout.countVotes(Verdict.ROLL_BACK, 2_000));
        rollout.vote(1, 0, Verdict.HOLD, 2_000);
        assertEquals(1, rollout.countVotes(Verdict.ROLL_BACK, 1_999));
    }

    @Test
    void voteToPromoteCountsForItsStageOnly() {
        rollout.vote(0, 0, Verdict.PROMOTE, 9_000);
        assertEquals(1, rollout.countVotes(Verdict.PROMOTE, 1_500));
        rollout.enter(1, RolloutPhase.CANARY, 0.4, 2_000);
        assertEquals(0, rollout.countVotes(Verdict.PROMOTE, 2_500));
    }

    @Test
    void votesAreClearedWhenTheCanaryPhaseEnds() {
        rollout.vote(0, 0, Verdict.ROLL_BACK, 9_000);
        rollout.enter(0, RolloutPhase.ROLLING_BACK, 0, 2_000);
        assertEquals(0, rollout.countVotes(Verdict.ROLL_BACK, 2_500));
        assertFalse(rollout.hasEnded());
        rollout.enter(0, RolloutPhase.ROLLED_BACK, 0, 3_000);
        assertTrue(rollout.hasEnded());
    }

    @Test
    void minimumStageTimeExcludesTimeHeld() {
        assertEquals(6_000, rollout.minStageEndTicks(5_000));
        rollout.setHeld(true, 2_000);
        rollout.setHeld(true, 2_500);
        rollout.setHeld(false, 4_000);
        assertEquals(8_000, rollout.minStageEndTicks(5_000));
        rollout.enter(1, RolloutPhase.CANARY, 0.4, 9_000);
        assertEquals(14_000, rollout.minStageEndTicks(5_000));
    }

    @Test
    void minimumStageTimeBeginsWhenTheLastServerStarts() {
        rollout.serversReadyTicks = 3_000;
        assertEquals(8_000, rollout.minStageEndTicks(5_000));
    }

    @Test
    void summaryUsesThePhaseNamesOfMessages() {
        rollout.enter(1, RolloutPhase.ROLLING_BACK, 0, 2_000);
        assertEquals("build 2 stage 1 going back", rollout.summary());
    }
}
