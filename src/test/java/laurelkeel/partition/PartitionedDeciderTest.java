package laurelkeel.partition;

import static laurelkeel.partition.RolloutSimulation.MILLISECOND;
import static laurelkeel.partition.RolloutSimulation.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import laurelkeel.api.Action;
import laurelkeel.api.Action.Verdict;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Event.EndpointListKind;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Event.RolloutUpdate;
import laurelkeel.api.LoadReport;
import laurelkeel.bench.DecisionStreams;
import laurelkeel.decision.RoutingDecider;
import org.junit.jupiter.api.Test;

/** Runs several rollouts behind one node, and checks every attempt against the rules of every rollout. */
class PartitionedDeciderTest {
    private static final int RANDOM_RUNS = 25;

    private static Predicate<Action.CastVote> isVote(int build, Verdict verdict) {
        return vote -> vote.build() == build && vote.verdict() == verdict;
    }

    @Test
    void withOneRolloutAllActionsEqualThoseOfASingleDecider() {
        for (int seed : new int[] {100, 103, 106, 109}) {
            assertEquals(
                    DecisionStreams.actionChecksum(RoutingDecider::new, seed),
                    DecisionStreams.actionChecksum(
                            (settings, nodeSeed) -> new PartitionedDecider(settings, nodeSeed, RoutingDecider::new),
                            seed),
                    "stream " + seed);
        }
    }

    @Test
    void eachRolloutReceivesItsShareAndStaysWithinItsCap() {
        for (boolean exposurePerRoute : new boolean[] {false, true}) {
            RolloutSimulation simulation = RolloutSimulation.started(exposurePerRoute, 1, 3);
            simulation.addEndpoints(2, 2);
            simulation.updateRollout(2, 0, RolloutPhase.CANARY);
            simulation.runTraffic(4 * SECOND, 5);
            simulation.addEndpoints(3, 2);
            simulation.updateRollout(3, 0, RolloutPhase.CANARY);
            simulation.runTraffic(4 * SECOND, 5);
            int build1Before = simulation.attemptsAt(1);
            int build2Before = simulation.attemptsAt(2);
            int build3Before = simulation.attemptsAt(3);
            simulation.addEndpoints(2, 5);
            simulation.updateRollout(2, 1, RolloutPhase.CANARY);
            simulation.runTraffic(8 * SECOND, 5);
            assertEquals(List.of(), simulation.violations);
            assertEquals(2, simulation.decider.openPartitions());
            int build1Attempts = simulation.attemptsAt(1) - build1Before;
            int build2Attempts = simulation.attemptsAt(2) - build2Before;
            int build3Attempts = simulation.attemptsAt(3) - build3Before;
            double allAttempts = build1Attempts + build2Attempts + build3Attempts;
            // the cap of build 2 is 0.4 of all requests, not of the requests of its partition
            assertTrue(build2Attempts / allAttempts > 0.2, simulation.attemptsByBuild.toString());
            assertTrue(build3Attempts / allAttempts > 0.03, simulation.attemptsByBuild.toString());
        }
    }

    @Test
    void randomRolloutsViolateNoRule() {
        for (int seed = 0; seed < RANDOM_RUNS; seed++) {
            RolloutSimulation simulation = RolloutSimulation.started(seed % 2 == 0, seed % 3, seed);
            simulation.runRandomRollouts(seed);
            assertEquals(List.of(), simulation.violations, "seed " + seed);
            assertTrue(simulation.decider.openPartitions() <= PartitionedDecider.MAX_ROLLOUTS);
        }
    }

    @Test
    void lostAnswersBindTheirKeysWhenPartitionsChange() {
        for (int seed = 0; seed < RANDOM_RUNS; seed++) {
            RolloutSimulation simulation = RolloutSimulation.started(seed % 2 == 0, seed % 3, seed);
            simulation.lostAnswerShare = 0.1;
            simulation.runRandomRollouts(seed);
            assertEquals(List.of(), simulation.violations, "seed " + seed);
        }
    }

    @Test
    void onlyTheFailingBuildGetsVotesToRollBack() {
        RolloutSimulation simulation = RolloutSimulation.withTwoCanaries(5);
        simulation.failureShare = 0.5;
        simulation.runTraffic(15 * SECOND, 5);
        assertTrue(simulation.votes.stream().anyMatch(isVote(2, Verdict.ROLL_BACK)), simulation.votes.toString());
        assertTrue(simulation.votes.stream().noneMatch(isVote(3, Verdict.ROLL_BACK)), simulation.votes.toString());
        assertEquals(List.of(), simulation.violations);
    }

    @Test
    void noVoteIsCastWhileTheAttributionIsOpenAndOnlyTheGuiltyBuildGetsVotesToRollBack() {
        RolloutSimulation simulation = RolloutSimulation.withTwoCanaries(6);
        simulation.decider.attribute(2, PartitionedDecider.Attribution.OPEN);
        simulation.decider.attribute(3, PartitionedDecider.Attribution.OPEN);
        simulation.runTraffic(15 * SECOND, 5);
        assertEquals(List.of(), simulation.votes);
        simulation.decider.attribute(2, PartitionedDecider.Attribution.CLEARED);
        simulation.decider.attribute(3, PartitionedDecider.Attribution.GUILTY);
        simulation.runTraffic(5 * SECOND, 5);
        assertTrue(simulation.votes.stream().allMatch(isVote(3, Verdict.ROLL_BACK)), simulation.votes.toString());
        assertTrue(simulation.votes.size() > 1, "the vote is renewed before it expires");
        simulation.updateRollout(3, 0, RolloutPhase.ROLLING_BACK);
        simulation.removeEndpoints(3);
        simulation.updateRollout(3, 0, RolloutPhase.ROLLED_BACK);
        simulation.runTraffic(10 * SECOND, 5);
        assertTrue(simulation.votes.stream().anyMatch(isVote(2, Verdict.PROMOTE)), simulation.votes.toString());
        assertEquals(List.of(), simulation.violations);
    }

    /** Guards against a build that is rolled back serving again because the reply to a vote arrives after the news of it. */
    @Test
    void aReplyThatWasOvertakenPutsNoBuildBackOnTrial() {
        RolloutSimulation simulation = RolloutSimulation.started(false, 0, 7);
        simulation.addEndpoints(2, 2);
        simulation.updateRollout(2, 0, RolloutPhase.CANARY);
        simulation.runTraffic(4 * SECOND, 5);
        simulation.updateRollout(2, 0, RolloutPhase.ROLLING_BACK);
        RolloutUpdate reply = new RolloutUpdate(ControlStatus.OK, 0, 0.1, 4 * SECOND, RolloutPhase.CANARY, 2, true);
        simulation.decider.decide(simulation.nowTicks, List.of(reply));
        simulation.runTraffic(4 * SECOND, 5);
        assertEquals(List.of(), simulation.violations);
    }

    @Test
    void partitionsTogetherDoNotOverloadAnEndpointThatIsWarmingUp() {
        RolloutSimulation simulation = RolloutSimulation.started(false, 0, 7);
        for (int build = 2; build <= 4; build++) {
            simulation.addEndpoints(build, 1);
            simulation.updateRollout(build, 0, RolloutPhase.CANARY);
        }
        simulation.runTraffic(12 * SECOND, 5);
        simulation.updateEndpoints(
                List.of(new EndpointEntry("b1.cold", 1, 0, 0, 0, 1, EndpointState.ACTIVE, simulation.nowTicks)));
        simulation.runTraffic(2 * SECOND, 5);
        assertEquals(3, simulation.decider.openPartitions());
        assertEquals(List.of(), simulation.violations);
        // 200 requests per second over 12 endpoints are 33 each in the 2 s overload window; a warm endpoint bears 3
        // times
        // that number, and one that has just started 0.4 of what a warm one bears
        int attempts = simulation.attemptsByEndpoint.getOrDefault("b1.cold", 0);
        assertTrue(attempts > 0 && attempts < 3 * 0.45 * 33, attempts + " attempts");
    }

    @Test
    void aVoteToRollBackIsWithheldWhileAnotherBuildIsGuilty() {
        RolloutSimulation simulation = RolloutSimulation.withTwoCanaries(8);
        simulation.failureShare = 0.5;
        simulation.decider.attribute(3, PartitionedDecider.Attribution.GUILTY);
        simulation.runTraffic(10 * SECOND, 5);
        assertTrue(
                simulation.votes.stream().noneMatch(vote -> vote.build() == 2),
                "its errors may be caused by the build that the regression is attributed to: " + simulation.votes);
        simulation.runTraffic(20 * SECOND, 5);
        assertTrue(
                simulation.votes.stream().anyMatch(isVote(2, Verdict.ROLL_BACK)),
                "the vote is withheld for a limited time");
    }

    @Test
    void aCanaryThatMayReceiveAllRequestsIsTheBaselineOfALaterRollout() {
        RolloutSimulation simulation = RolloutSimulation.started(false, 0, 9);
        simulation.addEndpoints(2, 8);
        simulation.updateRollout(2, 2, RolloutPhase.CANARY);
        simulation.runTraffic(8 * SECOND, 5);
        simulation.addEndpoints(3, 1);
        simulation.updateRollout(3, 0, RolloutPhase.CANARY);
        simulation.removeEndpoints(1);
        simulation.runTraffic(SECOND, 5);
        int attemptsBefore = simulation.attemptsAt(2);
        simulation.runTraffic(10 * SECOND, 5);
        int attempts = simulation.attemptsAt(2) - attemptsBefore;
        assertTrue(attempts > 1_600, attempts + " of 2,000 requests");
        assertEquals(List.of(), simulation.violations);
    }

    /** Creates a node whose deciders send each request to one endpoint and do nothing else. */
    private static PartitionedDecider deciderSendingTo(String endpointId) {
        return new PartitionedDecider(
                RolloutSimulation.settings(false, 0),
                1,
                (settings, seed) -> (nowTicks, events) -> events.stream()
                        .filter(event -> event instanceof Event.RequestReceived)
                        .map(event -> (Event.RequestReceived) event)
                        .map(request -> (Action) new Action.SendAttempt(request.requestId(), endpointId, 0))
                        .toList());
    }

    private static Event snapshotOf(String endpointId, int build) {
        return new Event.EndpointListUpdate(
                EndpointListKind.SNAPSHOT,
                List.of(new EndpointEntry(endpointId, build, 0, 0, 0, 1, EndpointState.ACTIVE, 0)));
    }

    private static Event.RolloutUpdate update(int build, RolloutPhase phase) {
        return new Event.RolloutUpdate(ControlStatus.OK, 0, 1, 0, phase, build, false);
    }

    private static void serve(PartitionedDecider decider, String key) {
        decider.decide(SECOND, List.of(new Event.RequestReceived(key, 0, 0, key, 2 * SECOND, 0, false)));
        decider.decide(
                SECOND,
                List.of(new Event.AttemptEnded(key, 0, "m", AttemptOutcome.COMPLETED, 1, true, LoadReport.NONE)));
    }

    @Test
    void keysOfEndedRolloutsAreRemovedToFreeCapacityForOthers() {
        PartitionedDecider decider = deciderSendingTo("m");
        decider.decide(
                SECOND, List.of(snapshotOf("m", 2), update(1, RolloutPhase.RELEASED), update(2, RolloutPhase.CANARY)));
        for (int i = 0; i < 600_001; i++) {
            serve(decider, "k" + i);
        }
        decider.decide(SECOND, List.of(update(2, RolloutPhase.RELEASED)));
        assertEquals(0, decider.boundKeyCount(), "the rollout has ended");
        decider.decide(SECOND, List.of(snapshotOf("m", 3), update(3, RolloutPhase.CANARY)));
        serve(decider, "new");
        assertEquals(1, decider.boundKeyCount(), "a canary served the key, which must stay in its partition");
    }

    @Test
    void complaintsAboutASharedEndpointGoToThePartitionsInTurn() {
        List<AtomicInteger> complaintCounts = new ArrayList<>();
        PartitionedDecider decider =
                new PartitionedDecider(RolloutSimulation.settings(false, 0), 1, (settings, seed) -> {
                    AtomicInteger complaints = new AtomicInteger();
                    complaintCounts.add(complaints);
                    return (nowTicks, events) -> {
                        events.stream()
                                .filter(event -> event instanceof Event.ComplaintReceived)
                                .forEach(event -> complaints.incrementAndGet());
                        return List.of();
                    };
                });
        decider.decide(
                SECOND,
                List.of(
                        snapshotOf("m", 1),
                        update(1, RolloutPhase.RELEASED),
                        update(2, RolloutPhase.CANARY),
                        update(3, RolloutPhase.CANARY)));
        for (int i = 0; i < 10; i++) {
            decider.decide(SECOND, List.of(new Event.ComplaintReceived("m", 5, 0)));
        }
        assertEquals(
                List.of(5, 5), complaintCounts.stream().map(AtomicInteger::get).toList());
    }

    @Test
    void timerEventsGoToThePartitionThatStartedTheTimer() {
        List<List<Event>> eventsByPartition = new ArrayList<>();
        PartitionedDecider decider =
                new PartitionedDecider(RolloutSimulation.settings(false, 0), 1, (settings, seed) -> {
                    List<Event> events = new ArrayList<>();
                    eventsByPartition.add(events);
                    return (nowTicks, newEvents) -> {
                        events.addAll(newEvents);
                        return List.of(new Action.StartTimer(nowTicks + MILLISECOND, 0));
                    };
                });
        List<Action> started =
                decider.decide(SECOND, List.of(update(2, RolloutPhase.CANARY), update(3, RolloutPhase.CANARY)));
        assertEquals(
                List.of(new Action.StartTimer(SECOND + MILLISECOND, 0), new Action.StartTimer(SECOND + MILLISECOND, 1)),
                started);
        eventsByPartition.forEach(List::clear);
        decider.decide(SECOND + MILLISECOND, List.of(new Event.TimerFired(1)));
        assertEquals(List.of(List.of(), List.of(new Event.TimerFired(0))), eventsByPartition);
    }
}
