package laurelkeel.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import laurelkeel.api.Event;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.controlplane.RolloutMessage;
import laurelkeel.front.controlplane.VoteResponse;
import laurelkeel.partition.PartitionedDecider.Attribution;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RolloutTranslatorTest {
    private static final long NOW_TICKS = 1_000_000;

    private RolloutTranslator translator;

    @BeforeEach
    void createTranslator() throws Exception {
        EventLoop loop = new EventLoop(() -> NOW_TICKS);
        translator = new RolloutTranslator(loop, new ControlPlaneRecorder(null, 0, "incarnation", loop));
    }

    private static RolloutMessage.Status status(int build, RolloutPhase phase, List<Integer> activeBuilds) {
        return new RolloutMessage.Status(build, 1, 0.4, phase, 100, activeBuilds, Attribution.NONE);
    }

    private static Event.RolloutUpdate update(int build, double cap, long ageTicks, RolloutPhase phase) {
        return new Event.RolloutUpdate(ControlStatus.OK, 1, cap, ageTicks, phase, build, false);
    }

    @Test
    void anAgeIncludesTheTimeThatTheMessageWaited() {
        assertEquals(
                List.of(update(5, 0.4, 1_000, RolloutPhase.CANARY)),
                translator.translate(status(5, RolloutPhase.CANARY, null), NOW_TICKS));
        assertEquals(
                List.of(update(5, 0.4, 1_250, RolloutPhase.CANARY)),
                translator.translate(status(5, RolloutPhase.CANARY, null), NOW_TICKS - 250));
    }

    @Test
    void aCanaryThatIsNoLongerActiveHasBeenRolledBack() {
        translator.translate(status(5, RolloutPhase.CANARY, List.of(5)), NOW_TICKS);
        translator.translate(status(6, RolloutPhase.CANARY, List.of(5, 6)), NOW_TICKS);
        assertEquals(
                List.of(update(5, 0, 0, RolloutPhase.ROLLED_BACK), update(6, 0.4, 1_000, RolloutPhase.CANARY)),
                translator.translate(status(6, RolloutPhase.CANARY, List.of(6)), NOW_TICKS));
    }

    @Test
    void withoutActiveBuildsALaterBuildEndsTheRolloutOfAnEarlierOne() {
        translator.translate(status(5, RolloutPhase.CANARY, null), NOW_TICKS);
        assertEquals(
                List.of(update(5, 0, 0, RolloutPhase.ROLLED_BACK), update(6, 0.4, 1_000, RolloutPhase.CANARY)),
                translator.translate(status(6, RolloutPhase.CANARY, null), NOW_TICKS));
        assertEquals(
                List.of(update(4, 0.4, 1_000, RolloutPhase.RELEASED)),
                translator.translate(status(4, RolloutPhase.RELEASED, null), NOW_TICKS),
                "an earlier build ends nothing");
    }

    @Test
    void aBuildThatWasReleasedIsNotRolledBackByLaterOnes() {
        translator.translate(status(5, RolloutPhase.CANARY, null), NOW_TICKS);
        translator.translate(status(5, RolloutPhase.RELEASED, null), NOW_TICKS);
        assertEquals(
                1,
                translator
                        .translate(status(6, RolloutPhase.CANARY, null), NOW_TICKS)
                        .size());
    }

    @Test
    void statisticsAreInTicks() {
        assertEquals(
                List.of(new Event.BuildStatistics(9, 1, 50, 3, 125, 400)),
                translator.translate(
                        new RolloutMessage.Statistics(9, 1, 50, 3, 12.5, 40, Attribution.NONE), NOW_TICKS));
    }

    @Test
    void aVoteResponseCarriesTheRolloutStatusIfItHasOne() {
        assertEquals(
                new Event.RolloutUpdate(ControlStatus.STALE, 1, 0.4, 1_000, RolloutPhase.CANARY, 9, true),
                translator.translate(
                        9, new VoteResponse(ControlStatus.STALE, status(9, RolloutPhase.CANARY, null)), NOW_TICKS));
        assertEquals(
                RolloutUpdates.voteAnswered(ControlStatus.TIMED_OUT, 9),
                translator.translate(9, new VoteResponse(ControlStatus.TIMED_OUT, null), NOW_TICKS));
        assertEquals(
                RolloutUpdates.voteFailed(9),
                translator.translate(9, new VoteResponse(ControlStatus.OK, null), NOW_TICKS),
                "accepted, but without a rollout status");
    }

    @Test
    void aVoteThatWasNotAcceptedStartsNoCanary() {
        translator.translate(5, new VoteResponse(ControlStatus.STALE, status(5, RolloutPhase.CANARY, null)), NOW_TICKS);
        assertEquals(
                1,
                translator
                        .translate(status(6, RolloutPhase.CANARY, null), NOW_TICKS)
                        .size());
    }
}
