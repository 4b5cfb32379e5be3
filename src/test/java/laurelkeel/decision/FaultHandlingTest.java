package laurelkeel.decision;

import static laurelkeel.decision.DecisionSimulation.MILLISECOND;
import static laurelkeel.decision.DecisionSimulation.SECOND;
import static laurelkeel.decision.DecisionSimulation.endpoint;
import static laurelkeel.decision.DecisionSimulation.settings;
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
import laurelkeel.decision.DecisionSimulation.SentAttempt;
import org.junit.jupiter.api.Test;

/**
 * Tests how a decider handles faults of endpoints, builds and requests. Each test covers a case that an
 * earlier version handled wrongly.
 */
class FaultHandlingTest {
    /**
     * Returns a simulation of a node whose rollouts advance by vote count. The seed determines the node's random
     * numbers.
     */
    private static DecisionSimulation simulation(long seed) {
        return new DecisionSimulation(settings(false, 0, Settings.PromotionPolicy.VOTE_COUNT), seed);
    }

    @Test
    void aBuildRolledBackAfterItsReleaseReceivesNoRequests() {
        DecisionSimulation simulation = simulation(1);
        simulation.start(2);
        simulation.updateRollout(2, 2, 1, RolloutPhase.CANARY);
        simulation.updateEndpoints(
                endpoint("t0", 2, 0, EndpointState.ACTIVE, 1),
                endpoint("m0", 1, 0, EndpointState.REMOVED, 0),
                endpoint("m1", 1, 1, EndpointState.REMOVED, 0));
        simulation.updateRollout(2, 2, 1, RolloutPhase.RELEASED);
        assertNotNull(simulation.inFlightOf(simulation.request(0, "a")), "the released build serves");
        simulation.updateRollout(2, 2, 0, RolloutPhase.ROLLING_BACK);
        assertNull(simulation.inFlightOf(simulation.request(0, "b")));
        assertEquals(List.of(), simulation.violations);
    }

    /** Returns a simulation with four stable and two canary endpoints, and an exposure cap of 0.5. */
    private static DecisionSimulation canaryWithCapOfHalf() {
        DecisionSimulation simulation = simulation(1);
        simulation.start(4);
        simulation.updateRollout(2, 1, 0.5, RolloutPhase.CANARY);
        simulation.updateEndpoints(
                endpoint("t0", 2, 0, EndpointState.ACTIVE, 1), endpoint("t1", 2, 0, EndpointState.ACTIVE, 1));
        return simulation;
    }

    @Test
    void aKeyWhoseAnswerFromTheCanaryWasLostGoesToNoOlderBuild() {
        DecisionSimulation simulation = canaryWithCapOfHalf();
        int lost = 0;
        for (int i = 0; i < 60; i++) {
            simulation.advance(SECOND / 20);
            String key = "k" + i;
            SentAttempt first = simulation.inFlightOf(simulation.request(0, key));
            if (first != null && first.build() == 2) {
                lost++;
                simulation.end(first, i % 2 == 0 ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.TIMED_OUT);
                SentAttempt retry = simulation.inFlightOf(first.requestId());
                assertTrue(
                        retry == null || retry.build() == 2,
                        key + " may have been served by build 2, although its answer was lost");
                SentAttempt next = simulation.inFlightOf(simulation.request(0, key));
                assertTrue(
                        next == null || next.build() == 2,
                        key + " may have been served by build 2, and was requested again");
            } else if (first != null) {
                simulation.end(first, AttemptOutcome.COMPLETED);
            }
        }
        assertTrue(lost > 3, "attempts at the canary: " + lost);
    }

    /** The canary may already have written its answer, which the node has not read yet. */
    @Test
    void aKeyWithAnAttemptInFlightAtTheCanaryGoesToNoOlderBuild() {
        DecisionSimulation simulation = canaryWithCapOfHalf();
        int inFlight = 0;
        for (int i = 0; i < 60; i++) {
            simulation.advance(SECOND / 20);
            String key = "k" + i;
            SentAttempt first = simulation.inFlightOf(simulation.request(0, key));
            if (first != null && first.build() == 2) {
                inFlight++;
                // more requests than the cap allows
                for (int repeat = 0; repeat < 20; repeat++) {
                    SentAttempt next = simulation.inFlightOf(simulation.request(0, key));
                    assertTrue(
                            next == null || next.build() == 2,
                            key + " was sent to build " + (next == null ? 0 : next.build()));
                    if (next != null) {
                        simulation.end(next, AttemptOutcome.CONNECT_FAILED);
                    }
                }
                simulation.end(first, AttemptOutcome.FAILED);
                assertEquals(List.of(), simulation.violations);
            } else if (first != null) {
                simulation.end(first, AttemptOutcome.COMPLETED);
            }
        }
        assertTrue(inFlight > 3, "attempts at the canary: " + inFlight);
    }

    /**
     * The fast errors of a faulty endpoint would attract a large share of the requests and look like a regression of
     * its build.
     */
    @Test
    void endpointsWithErrorsAreEjectedWithoutAVoteAgainstTheirBuild() {
        DecisionSimulation simulation = simulation(1);
        simulation.start(6);
        simulation.updateRollout(2, 1, 0.5, RolloutPhase.CANARY);
        simulation.updateEndpoints(
                endpoint("t0", 2, 0, EndpointState.ACTIVE, 1), endpoint("t1", 2, 0, EndpointState.ACTIVE, 1));
        Set<String> faulty = Set.of("t0", "m0");
        int attemptsAtFaulty = 0;
        int attemptsAtFaultyAfterDetection = 0;
        int attemptsElsewhereAfterDetection = 0;
        for (int i = 0; i < 3000; i++) {
            simulation.advance(SECOND / 100);
            SentAttempt sent = simulation.inFlightOf(simulation.request(0, "k" + i));
            while (sent != null) {
                boolean isFaulty = faulty.contains(sent.endpointId());
                boolean isAfterDetection = i > 500;
                attemptsAtFaulty += isFaulty ? 1 : 0;
                attemptsAtFaultyAfterDetection += isAfterDetection && isFaulty ? 1 : 0;
                attemptsElsewhereAfterDetection += isAfterDetection && !isFaulty ? 1 : 0;
                simulation.end(sent, isFaulty ? AttemptOutcome.FAILED : AttemptOutcome.COMPLETED);
                sent = simulation.inFlightOf(sent.requestId());
            }
        }
        assertTrue(attemptsAtFaulty > 5, "attempts at the faulty endpoints in the whole run: " + attemptsAtFaulty);
        assertTrue(
                attemptsAtFaultyAfterDetection < attemptsElsewhereAfterDetection / 20,
                "two of eight endpoints had " + attemptsAtFaultyAfterDetection + " attempts, the others "
                        + attemptsElsewhereAfterDetection);
        assertTrue(
                simulation.votes.stream().noneMatch(v -> v.verdict() == Verdict.ROLL_BACK),
                "the other endpoint of the build has no errors");
        assertEquals(List.of(), simulation.violations);
    }

    @Test
    void aBuildThatLeavesTheEndpointListAndReturnsGetsNoNewAllowance() {
        DecisionSimulation simulation = simulation(1);
        simulation.start(4);
        for (int flap = 0; flap < 6; flap++) {
            simulation.updateEndpoints(endpoint("t0", 2, 0, EndpointState.ACTIVE, 1));
            simulation.advance(SECOND / 5);
            // once a key has gone to the canary, repeats it, with more requests than the cap allows
            String key = "k" + flap;
            for (int i = 0; i < 100; i++) {
                SentAttempt sent = simulation.inFlightOf(simulation.request(0, key));
                boolean isAtCanary = sent != null && sent.build() == 2;
                key = isAtCanary ? key : "k" + flap + "-" + i;
                if (sent != null) {
                    simulation.end(sent, AttemptOutcome.COMPLETED);
                }
            }
            simulation.updateEndpoints(endpoint("t0", 2, 0, EndpointState.REMOVED, 0));
        }
        assertTrue(
                simulation.sent.stream().anyMatch(attempt -> attempt.build() == 2),
                "the canary receives its share before its first rollout update");
        assertEquals(List.of(), simulation.violations);
    }

    @Test
    void anEndpointThatIsWarmingUpIsNotOverloadedWhenAllOthersAreRemoved() {
        DecisionSimulation simulation = simulation(1);
        simulation.start(4);
        simulation.runTraffic(4 * SECOND, 25, 1000, 0, 0, new Random(5));
        simulation.updateEndpoints(
                endpoint("c", 1, 0, EndpointState.ACTIVE, simulation.nowTicks),
                endpoint("m0", 1, 0, EndpointState.REMOVED, 0),
                endpoint("m1", 1, 1, EndpointState.REMOVED, 0),
                endpoint("m2", 1, 0, EndpointState.REMOVED, 0),
                endpoint("m3", 1, 1, EndpointState.REMOVED, 0));
        long from = simulation.nowTicks;
        simulation.runTraffic(2 * SECOND, 25, 1000, 0, 0, new Random(6));
        long sent = simulation.sent.stream()
                .filter(attempt -> attempt.endpointId().equals("c") && attempt.sentAtTicks() > from)
                .count();
        assertTrue(
                sent > 0 && sent < 30,
                "attempts at the endpoint that is warming up, of 80 requests; with all four endpoints, each would receive 20: "
                        + sent);
    }

    @Test
    void manyNodesWithLittleTrafficDoNotOverloadAnEndpointThatIsWarmingUp() {
        long sent = 0;
        for (int node = 0; node < 60; node++) {
            DecisionSimulation simulation = simulation(node);
            simulation.start(30);
            simulation.runTraffic(10 * SECOND, 1000, 1000, 0, 0, new Random(node));
            for (int i = 0; i < 30; i++) {
                simulation.updateEndpoints(endpoint("m" + i, 1, 0, EndpointState.REMOVED, 0));
            }
            simulation.updateEndpoints(endpoint("c", 1, 0, EndpointState.ACTIVE, simulation.nowTicks));
            simulation.runTraffic(2 * SECOND, 1000, 1000, 0, 0, new Random(node));
            sent += simulation.sent.stream()
                    .filter(attempt -> attempt.endpointId().equals("c"))
                    .count();
        }
        assertTrue(
                sent > 0 && sent <= 10,
                "attempts at the endpoint that is warming up, of 120 requests; with all 30 endpoints, each would receive 4: "
                        + sent);
    }

    @Test
    void nodesStartTheRoundRobinAtDifferentEndpoints() {
        Set<String> firstEndpoints = new HashSet<>();
        for (int node = 0; node < 20; node++) {
            DecisionSimulation simulation = simulation(node);
            simulation.start(30);
            firstEndpoints.add(simulation.inFlightOf(simulation.request(0, "k")).endpointId());
        }
        assertTrue(firstEndpoints.size() > 8, "first endpoints of 20 nodes: " + firstEndpoints);
    }

    @Test
    void anIdleEndpointOfLowCapacityReceivesRequests() {
        DecisionSimulation simulation = simulation(1);
        simulation.start(2);
        simulation.updateEndpoints(new Event.EndpointEntry("small", 1, 0, 0, 0, 0.5, EndpointState.ACTIVE, 0));
        simulation.runTraffic(5 * SECOND, 100, 500, 0, 0, new Random(1));
        assertTrue(
                simulation.sent.stream()
                                .filter(attempt -> attempt.endpointId().equals("small"))
                                .count()
                        >= 5,
                "fewer than 5 attempts at the endpoint of low capacity, of 50 requests");
    }

    @Test
    void aNodeStopsSheddingLoadAfterTheEndpointsHaveRecovered() {
        DecisionSimulation simulation = simulation(1);
        simulation.start(2);
        simulation.runTraffic(5 * SECOND, 20, 1000, 0, 0, new Random(1));
        simulation.runTraffic(6 * SECOND, 20, 15_000, 0, 0, new Random(2));
        simulation.runTraffic(10 * SECOND, 20, 1000, 0, 0, new Random(3));
        simulation.finalAnswers.clear();
        simulation.runTraffic(5 * SECOND, 20, 1000, 0, 0, new Random(4));
        assertEquals(0, simulation.finalAnswers.size(), "nothing is shed without overload");
    }

    @Test
    void badRequestsThatFailOnBothBuildsCauseNoRollBackVote() {
        DecisionSimulation simulation = RequestRulesTest.canary(5, 0.5, 0);
        simulation.runTraffic(8 * SECOND, 20, 1000, 0.3, 0.3, new Random(5));
        simulation.updateRollout(2, 2, 1, RolloutPhase.RELEASED);
        simulation.updateEndpoints(
                endpoint("m0", 1, 0, EndpointState.REMOVED, 0), endpoint("m1", 1, 1, EndpointState.REMOVED, 0));
        for (int i = 0; i < 300; i++) {
            simulation.nowTicks += 20 * MILLISECOND;
            String id = simulation.request(0, "b" + i);
            while (simulation.inFlightOf(id) != null) {
                simulation.end(
                        simulation.inFlightOf(id), i % 2 == 0 ? AttemptOutcome.FAILED : AttemptOutcome.COMPLETED);
            }
        }
        assertTrue(
                simulation.votes.stream().noneMatch(v -> v.verdict() == Verdict.ROLL_BACK),
                simulation.votes.toString());
    }

    @Test
    void requestsDoNotTryEveryEndpointWhenAllAreAtCapacity() {
        DecisionSimulation simulation = simulation(1);
        simulation.start(6);
        for (int i = 0; i < 200; i++) {
            simulation.nowTicks += 10 * MILLISECOND;
            String id = simulation.request(0, "k" + i);
            while (simulation.inFlightOf(id) != null) {
                simulation.end(simulation.inFlightOf(id), AttemptOutcome.OVERLOADED);
            }
        }
        assertTrue(simulation.sent.size() < 200 * 1.3, "attempts: " + simulation.sent.size());
    }

    @Test
    void loadIsShedWhenLatenciesExceedTheObjective() {
        DecisionSimulation simulation = simulation(1);
        simulation.start(2);
        simulation.runTraffic(5 * SECOND, 20, 1000, 0, 0, new Random(1));
        assertEquals(0, simulation.finalAnswers.size(), "nothing is shed without overload");
        simulation.runTraffic(6 * SECOND, 20, 15_000, 0, 0, new Random(2));
        assertTrue(
                simulation.finalAnswers.stream()
                                .filter(a -> a instanceof Action.RejectRequest)
                                .count()
                        > 50,
                "at most 50 rejections");
    }

    @Test
    void aFailingBuildGetsARollBackVoteAndAGoodOneAPromoteVote() {
        assertTrue(verdictsByErrorShare(0.2, 7).contains(Verdict.ROLL_BACK));
        List<Verdict> good = verdictsByErrorShare(0, 7);
        assertTrue(good.contains(Verdict.PROMOTE) && !good.contains(Verdict.ROLL_BACK), good.toString());
    }

    /** With a hundred nodes, no node has enough attempts of its own to detect a faulty build before its release. */
    @Test
    void aNodeWithFewAttemptsAndAnErrorVotesByTheStatisticsOfAllNodes() {
        assertTrue(verdictsByStatistics(AttemptOutcome.FAILED, 3, 8).contains(Verdict.ROLL_BACK));
        assertFalse(
                verdictsByStatistics(AttemptOutcome.FAILED, 0, 8).contains(Verdict.ROLL_BACK),
                "a single error of its own is not enough");
        assertFalse(
                verdictsByStatistics(AttemptOutcome.TIMED_OUT, 3, 8).contains(Verdict.ROLL_BACK),
                "timeouts can be caused by endpoints that are warming up, and the statistics count them as errors");
        assertFalse(
                verdictsByStatistics(AttemptOutcome.FAILED, 3, 2).contains(Verdict.ROLL_BACK),
                "with two endpoints, the errors may come from a single faulty endpoint");
    }

    /**
     * Returns the verdicts of a node that receives a request every half second, while the statistics of all nodes
     * may contain failures of the canary.
     *
     * @param firstOutcome outcome of the node's own first attempt at the canary
     * @param failures failed attempts at the canary among 6 in each statistics event
     * @param endpointCount number of endpoints of each build
     */
    private static Set<Verdict> verdictsByStatistics(AttemptOutcome firstOutcome, int failures, int endpointCount) {
        DecisionSimulation simulation = simulation(1);
        simulation.start(endpointCount);
        simulation.updateRollout(2, 1, 0.5, RolloutPhase.CANARY);
        for (int i = 0; i < endpointCount; i++) {
            simulation.updateEndpoints(endpoint("t" + i, 2, 0, EndpointState.ACTIVE, 0));
        }
        int canaryAttempts = 0;
        for (int i = 0; i < 30; i++) {
            simulation.advance(SECOND / 2);
            simulation.decide(List.of(
                    new Event.BuildStatistics(1, 0, 30, 0, 100, 0),
                    new Event.BuildStatistics(2, 0, 6, failures, 100, 0)));
            SentAttempt sent = simulation.inFlightOf(simulation.request(0, "k" + i));
            if (sent != null) {
                boolean isFirst = sent.build() == 2 && canaryAttempts++ == 0;
                simulation.end(sent, isFirst ? firstOutcome : AttemptOutcome.COMPLETED);
                SentAttempt retry = simulation.inFlightOf(sent.requestId());
                if (retry != null) {
                    simulation.end(retry, AttemptOutcome.COMPLETED);
                }
            }
        }
        assertTrue(canaryAttempts > 1 && canaryAttempts < 20, "number of attempts at the canary: " + canaryAttempts);
        Set<Verdict> all = new HashSet<>();
        simulation.votes.forEach(v -> all.add(v.verdict()));
        return all;
    }

    @Test
    void aBuildThatFailsOnlyAfterItsReleaseGetsARollBackVote() {
        DecisionSimulation simulation = RequestRulesTest.canary(4, 0.5, 0);
        simulation.runTraffic(6 * SECOND, 20, 1000, 0, 0, new Random(3));
        simulation.updateRollout(2, 2, 1, RolloutPhase.RELEASED);
        simulation.votes.clear();
        simulation.runTraffic(6 * SECOND, 20, 1000, 0, 0.2, new Random(3));
        assertTrue(
                simulation.votes.stream().anyMatch(v -> v.verdict() == Verdict.ROLL_BACK), simulation.votes.toString());
    }

    @Test
    void complaintsAloneCauseARollBackVote() {
        assertTrue(verdictsByComplaints(0.25).contains(Verdict.ROLL_BACK));
        assertFalse(verdictsByComplaints(0).contains(Verdict.ROLL_BACK), "equal complaint rates for both builds");
    }

    /**
     * Returns the verdicts if clients report a share of the canary's answers as wrong, in addition to 2% of all
     * answers.
     */
    private static List<Verdict> verdictsByComplaints(double complaintShare) {
        DecisionSimulation simulation = RequestRulesTest.canary(9, 0.5, 0);
        Random random = new Random(9);
        for (int i = 0; i < 400; i++) {
            simulation.nowTicks += 20 * MILLISECOND;
            SentAttempt attempt = simulation.inFlightOf(simulation.request(0, "k" + i));
            simulation.nowTicks += 5 * MILLISECOND;
            simulation.end(attempt, AttemptOutcome.COMPLETED);
            if (random.nextDouble() < 0.02 + (attempt.build() == 2 ? complaintShare : 0)) {
                simulation.decide(List.of(new Event.ComplaintReceived(
                        attempt.endpointId(), simulation.nowTicks - attempt.sentAtTicks(), 0)));
            }
        }
        return simulation.votes.stream().map(Action.CastVote::verdict).toList();
    }

    @Test
    void aBuildThatIsSlowOrMakesAllEndpointsSlowGetsARollBackVote() {
        assertTrue(verdictsByLatency(3000, 1000).contains(Verdict.ROLL_BACK), "slower than the stable build");
        assertTrue(
                verdictsByLatency(2200, 2200).contains(Verdict.ROLL_BACK),
                "all endpoints slower since the canary receives traffic");
        assertFalse(verdictsByLatency(1000, 1000).contains(Verdict.ROLL_BACK), "as fast as before");
    }

    /**
     * Returns the verdicts if answers take at least 100 ms before the rollout and at least the given times during the
     * rollout, plus up to 20 ms at random.
     */
    private static List<Verdict> verdictsByLatency(long canaryTicks, long stableTicks) {
        DecisionSimulation simulation =
                new DecisionSimulation(settings(false, 0, Settings.PromotionPolicy.FIRST_VOTE), 6);
        simulation.start(4);
        Random random = new Random(6);
        runAtLatency(simulation, 12 * SECOND, 1000, 1000, random);
        for (int i = 0; i < 4; i++) {
            simulation.updateEndpoints(endpoint("t" + i, 2, i % 2, EndpointState.ACTIVE, 1));
        }
        simulation.updateRollout(2, 1, 0.5, RolloutPhase.CANARY);
        runAtLatency(simulation, 18 * SECOND, canaryTicks, stableTicks, random);
        return simulation.votes.stream().map(Action.CastVote::verdict).toList();
    }

    private static void runAtLatency(
            DecisionSimulation simulation, long spanTicks, long canaryTicks, long stableTicks, Random random) {
        for (long endTicks = simulation.nowTicks + spanTicks; simulation.nowTicks < endTicks; ) {
            simulation.nowTicks += 20 * MILLISECOND;
            for (SentAttempt attempt : List.copyOf(simulation.inFlight)) {
                if (simulation.nowTicks
                        >= attempt.sentAtTicks()
                                + (attempt.build() == 2 ? canaryTicks : stableTicks)
                                + random.nextInt(200)) {
                    simulation.end(attempt, AttemptOutcome.COMPLETED);
                }
            }
            simulation.request(0, "k" + random.nextInt(400));
        }
    }

    @Test
    void nonAsciiKeysAreSplitBetweenTheBuilds() {
        DecisionSimulation simulation = RequestRulesTest.canary(4, 0.5, 0);
        int sentToCanary = 0;
        for (int i = 0; i < 200; i++) {
            simulation.nowTicks += 20 * MILLISECOND;
            SentAttempt attempt =
                    simulation.inFlightOf(simulation.request(0, "" + (char) ('à' + i % 20) + (char) ('à' + i / 20)));
            sentToCanary += attempt.build() == 2 ? 1 : 0;
            simulation.end(attempt, AttemptOutcome.COMPLETED);
        }
        assertTrue(sentToCanary > 40 && sentToCanary < 120, "attempts at the canary: " + sentToCanary);
    }

    @Test
    void aRequestThatFailedAtTheCanaryIsRetriedAtTheStableBuild() {
        DecisionSimulation simulation = RequestRulesTest.canary(4, 0.5, 0);
        for (int i = 0; i < 200; i++) {
            simulation.nowTicks += 20 * MILLISECOND;
            String id = simulation.request(0, "x" + i);
            SentAttempt first = simulation.inFlightOf(id);
            simulation.end(first, first.build() == 2 ? AttemptOutcome.FAILED : AttemptOutcome.COMPLETED);
            if (first.build() == 2) {
                assertEquals(1, simulation.inFlightOf(id).build());
                return;
            }
        }
        throw new AssertionError("no attempt was sent to the canary");
    }

    @Test
    void anEndpointThatLosesConnectionsIsEjectedUntilItRecovers() {
        DecisionSimulation simulation = simulation(1);
        simulation.start(4);
        for (int i = 0; i < 600; i++) {
            simulation.nowTicks += 20 * MILLISECOND;
            SentAttempt attempt = simulation.inFlightOf(simulation.request(2, "x" + i));
            simulation.nowTicks += 100 * MILLISECOND;
            simulation.end(
                    attempt,
                    attempt.endpointId().equals("m0") && i < 150
                            ? AttemptOutcome.CONNECTION_LOST
                            : AttemptOutcome.COMPLETED);
        }
        long whileFailing = simulation.sent.subList(20, 150).stream()
                .filter(attempt -> attempt.endpointId().equals("m0"))
                .count();
        long afterwards = simulation.sent.subList(500, 600).stream()
                .filter(attempt -> attempt.endpointId().equals("m0"))
                .count();
        assertTrue(whileFailing < 20, "attempts while failing: " + whileFailing);
        assertTrue(afterwards > 0, "the endpoint is used again");
    }

    private static List<Verdict> verdictsByErrorShare(double errorShare, long seed) {
        DecisionSimulation simulation = RequestRulesTest.canary(seed, 0.5, 0);
        simulation.runTraffic(6 * SECOND, 20, 1000, 0, errorShare, new Random(seed));
        return simulation.votes.stream().map(Action.CastVote::verdict).toList();
    }
}
