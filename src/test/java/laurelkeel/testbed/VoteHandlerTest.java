package laurelkeel.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.records.RecordTerms.RolloutPhase;
import laurelkeel.records.TrafficRecord;
import laurelkeel.testbed.ServiceTerms.Verdict;
import laurelkeel.testbed.ServiceTerms.VoteAnswer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class VoteHandlerTest {
    private static final double VOTES_PER_SECOND = 5;

    private final List<TrafficRecord> records = new ArrayList<>();
    private final RolloutRegistry rollouts = new RolloutRegistry();
    private final RolloutServiceFaults faults = new RolloutServiceFaults();
    private final Rollout canary = new Rollout(BuildProfile.healthy(2), RolloutPhase.CANARY, 0.1, 0);
    private final SimulatedFleet fleet = new SimulatedFleet(
            new EventLoop(() -> 0),
            new ServerProfile(1, 1, 1, Map.of(), Map.of(), 1, 1, 1, 1, 0, 0, 0, 0),
            List.of("here"),
            Map.of(),
            1,
            records::add);

    @AfterEach
    void closeFleet() {
        fleet.close();
    }

    private VoteHandler handler(PromotionPolicy promotion) {
        rollouts.add(canary);
        RolloutPolicy policy = new RolloutPolicy(
                List.of(0.1, 1.0),
                List.of(0.1, 1.0),
                promotion,
                ReplacementStyle.REPLACE,
                1,
                1,
                1,
                0,
                10_000,
                VOTES_PER_SECOND,
                0,
                10_000,
                0,
                0,
                1);
        return new VoteHandler(fleet, policy, rollouts, faults, records::add);
    }

    private static VoteHandler.Vote vote(int build, int stage, String verdict) {
        return new VoteHandler.Vote(0, build, stage, verdict);
    }

    @Test
    void applicableVotesAreCountedAndRecorded() {
        assertEquals(VoteAnswer.COUNTED, handler(PromotionPolicy.FIRST_VOTE).handle(vote(2, 0, "on")));
        assertEquals(1, canary.countVotes(Verdict.PROMOTE, 0));
        TrafficRecord.VoteReceived recorded = (TrafficRecord.VoteReceived) records.get(0);
        assertEquals("on", recorded.verdict());
        assertEquals("ok", recorded.answer());
    }

    @Test
    void votesOnOtherBuildsAndStagesAreStale() {
        VoteHandler handler = handler(PromotionPolicy.FIRST_VOTE);
        assertEquals(VoteAnswer.STALE, handler.handle(vote(3, 0, "on")));
        assertEquals(VoteAnswer.STALE, handler.handle(vote(2, 1, "on")));
        assertEquals(VoteAnswer.COUNTED, handler.handle(vote(2, 1, "back")));
    }

    @Test
    void votesToPromoteAreStaleUnderAutomaticPromotion() {
        VoteHandler handler = handler(PromotionPolicy.AUTOMATIC);
        assertEquals(VoteAnswer.STALE, handler.handle(vote(2, 0, "on")));
        assertEquals(VoteAnswer.COUNTED, handler.handle(vote(2, 0, "hold")));
    }

    @Test
    void onlyVotesToRollBackCountForAReleasedBuild() {
        VoteHandler handler = handler(PromotionPolicy.FIRST_VOTE);
        canary.enter(0, RolloutPhase.RELEASED, 1, 0);
        assertEquals(VoteAnswer.STALE, handler.handle(vote(2, 0, "on")));
        assertEquals(VoteAnswer.COUNTED, handler.handle(vote(2, 0, "back")));
    }

    @Test
    void votesBeyondTheRateAreRejected() {
        VoteHandler handler = handler(PromotionPolicy.FIRST_VOTE);
        for (int i = 0; i < 2 * VOTES_PER_SECOND; i++) {
            assertEquals(VoteAnswer.COUNTED, handler.handle(vote(2, 0, "back")));
        }
        assertEquals(VoteAnswer.RATE_LIMITED, handler.handle(vote(2, 0, "back")));
    }

    @Test
    void stalledServiceGivesNoAnswer() {
        VoteHandler handler = handler(PromotionPolicy.FIRST_VOTE);
        faults.stallUntil(1);
        assertNull(handler.handle(vote(2, 0, "back")));
        assertEquals("none", ((TrafficRecord.VoteReceived) records.get(0)).answer());
    }
}
