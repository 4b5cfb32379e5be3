package laurelkeel.decision;

import static laurelkeel.decision.DecisionFixtures.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.Collection;
import java.util.List;
import laurelkeel.api.Action.CastVote;
import laurelkeel.api.Action.Verdict;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Event.RolloutUpdate;
import laurelkeel.api.Settings.PromotionPolicy;
import laurelkeel.api.Settings.Rollout;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** In the settings, votes time out after one second and have a lifetime of five seconds. */
class RolloutVoterTest {
    private static final long SETTLED_TICKS = 3 * SECOND;
    private static final Regression REGRESSION = new Regression.HigherErrorRate(0);

    private static final BuildCapacities NO_CAPACITIES = new BuildCapacities() {
        @Override
        public Collection<Integer> activeBuilds() {
            return List.of();
        }

        @Override
        public int newestActiveBuild() {
            return RolloutState.NO_BUILD;
        }

        @Override
        public double currentCapacity(int build, long nowTicks) {
            return 0;
        }
    };

    private @Nullable Regression regression;
    private long newestStartTicks;
    private RolloutState rollout = new RolloutState(settings(PromotionPolicy.FIRST_VOTE));
    private RolloutVoter voter = voter(PromotionPolicy.FIRST_VOTE);

    private static Rollout settings(PromotionPolicy policy) {
        return DecisionSimulation.settings(false, 0, policy).rollout();
    }

    private RolloutVoter voter(PromotionPolicy policy) {
        rollout = new RolloutState(settings(policy));
        announce(1, 2, RolloutPhase.RELEASED, 0);
        return new RolloutVoter(
                settings(policy),
                rollout,
                (candidate, baseline, isBaselineServing, nowTicks) -> regression,
                build -> newestStartTicks);
    }

    private void announce(int build, int stage, RolloutPhase phase, long nowTicks) {
        rollout.apply(new RolloutUpdate(ControlStatus.OK, stage, 0.5, 0, phase, build, false), nowTicks);
        rollout.selectBuilds(NO_CAPACITIES, nowTicks);
    }

    private @Nullable CastVote voteAt(long nowTicks) {
        RolloutVoter.Vote vote = voter.nextVote(nowTicks);
        return vote == null ? null : vote.action();
    }

    @Test
    void doesNotVoteWithoutACanary() {
        assertNull(voteAt(100 * SECOND));
    }

    @Test
    void promotesAStageAfterThreeSeconds() {
        announce(2, 0, RolloutPhase.CANARY, 10 * SECOND);
        assertNull(voteAt(10 * SECOND + SETTLED_TICKS - 1));
        assertEquals(new CastVote(2, 0, Verdict.PROMOTE), voteAt(11 * SECOND + SETTLED_TICKS));
    }

    @Test
    void promotesThreeSecondsAfterTheStartOfTheNewestEndpoint() {
        announce(2, 0, RolloutPhase.CANARY, 10 * SECOND);
        newestStartTicks = 12 * SECOND;
        assertNull(voteAt(12 * SECOND + SETTLED_TICKS - 1));
        assertNotNull(voteAt(13 * SECOND + SETTLED_TICKS));
    }

    @Test
    void votesAgainstARegressionImmediately() {
        announce(2, 0, RolloutPhase.CANARY, 10 * SECOND);
        regression = REGRESSION;
        RolloutVoter.Vote vote = voter.nextVote(10 * SECOND);
        assertNotNull(vote);
        assertEquals(new CastVote(2, 0, Verdict.ROLL_BACK), vote.action());
        assertSame(REGRESSION, vote.regression());
    }

    @Test
    void doesNotPromoteIfPromotionIsAutomatic() {
        voter = voter(PromotionPolicy.AUTOMATIC);
        announce(2, 0, RolloutPhase.CANARY, 10 * SECOND);
        assertNull(voteAt(20 * SECOND));
        regression = REGRESSION;
        assertNotNull(voteAt(21 * SECOND));
    }

    @Test
    void renewsAnAcceptedVoteBeforeItExpires() {
        announce(2, 0, RolloutPhase.CANARY, 10 * SECOND);
        long castTicks = 20 * SECOND;
        assertNotNull(voteAt(castTicks));
        voter.voteResponseReceived(ControlStatus.OK);
        assertNull(voteAt(castTicks + 3 * SECOND - 1));
        assertNotNull(voteAt(castTicks + 4 * SECOND));
    }

    @Test
    void votesImmediatelyOnANewStageOrWithAnotherVerdict() {
        announce(2, 0, RolloutPhase.CANARY, 10 * SECOND);
        assertNotNull(voteAt(20 * SECOND));
        voter.voteResponseReceived(ControlStatus.OK);
        regression = REGRESSION;
        assertEquals(new CastVote(2, 0, Verdict.ROLL_BACK), voteAt(21 * SECOND));
        voter.voteResponseReceived(ControlStatus.OK);
        regression = null;
        announce(2, 1, RolloutPhase.CANARY, 21 * SECOND);
        assertEquals(new CastVote(2, 1, Verdict.PROMOTE), voteAt(25 * SECOND));
    }

    @Test
    void castsAVoteWithoutAnAnswerAgainAfterItsTimeout() {
        announce(2, 0, RolloutPhase.CANARY, 10 * SECOND);
        assertNotNull(voteAt(20 * SECOND));
        assertNull(voteAt(20 * SECOND + 3 * SECOND / 2 - 1));
        assertNotNull(voteAt(20 * SECOND + 3 * SECOND / 2));
    }

    @Test
    void castsAVoteThatWasNotAcceptedAgain() {
        announce(2, 0, RolloutPhase.CANARY, 10 * SECOND);
        assertNotNull(voteAt(20 * SECOND));
        voter.voteResponseReceived(ControlStatus.RATE_LIMITED);
        assertNull(voteAt(20 * SECOND + SECOND / 2 - 1), "only after a pause");
        assertNotNull(voteAt(20 * SECOND + SECOND / 2));
    }

    @Test
    void doesNotPromoteAReleasedBuildButCanRollItBack() {
        announce(2, 2, RolloutPhase.CANARY, 10 * SECOND);
        announce(2, 2, RolloutPhase.RELEASED, 20 * SECOND);
        assertNull(voteAt(25 * SECOND));
        regression = REGRESSION;
        assertEquals(new CastVote(2, 2, Verdict.ROLL_BACK), voteAt(26 * SECOND));
        assertNull(voteAt(60 * SECOND), "too long after its release");
    }
}
