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

/** How a decider handles faults of endpoints, builds and requests; each was once a failure of the product. */
class FaultHandlingTest {
    /** A rollout that needs votes, by a node whose random draws the seed determines. */
    private static DecisionSimulation simulation(long seed) {
        return new DecisionSimulation(settings(false, 0, Settings.PromotionPolicy.VOTE_COUNT), seed);
    }

    @Test
    void aBuildRolledBackAfterItsReleaseGetsNothing() {
        DecisionSimulation simulation = simulation(1);
        simulation.start(2);
        simulation.announce(2, 2, 1, RolloutPhase.CANARY);
        simulation.updateEndpoints(
                endpoint("t0", 2, 0, EndpointState.ACTIVE, 1),
                endpoint("m0", 1, 0, EndpointState.REMOVED, 0),
                endpoint("m1", 1, 1, EndpointState.REMOVED, 0));
        simulation.announce(2, 2, 1, RolloutPhase.RELEASED);
        assertNotNull(simulation.inFlightOf(simulation.request(0, "a")), "the released build serves");
        simulation.announce(2, 2, 0, RolloutPhase.ROLLING_BACK);
        assertNull(simulation.inFlightOf(simulation.request(0, "b")));
        assertEquals(List.of(), simulation.violations);
    }

    /** Two endpoints of a canary beside four, with a cap of a half. */
    private static DecisionSimulation canaryOfHalf() {
        DecisionSimulation simulation = simulation(1);
        simulation.start(4);
        simulation.announce(2, 1, 0.5, RolloutPhase.CANARY);
        simulation.updateEndpoints(
                endpoint("t0", 2, 0, EndpointState.ACTIVE, 1), endpoint("t1", 2, 0, EndpointState.ACTIVE, 1));
        return simulation;
    }

    @Test
    void aKeyWhoseAnswerFromTheCanaryWasLostGoesToNoOlderBuild() {
        DecisionSimulation simulation = canaryOfHalf();
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
                        key + " may have been served by build 2, though nobody could read its answer");
                SentAttempt next = simulation.inFlightOf(simulation.request(0, key));
                assertTrue(next == null || next.build() == 2, key + " is sent again");
            } else if (first != null) {
                simulation.end(first, AttemptOutcome.COMPLETED);
            }
        }
        assertTrue(lost > 3, "the canary had traffic: " + lost);
    }

    /** Its answer may be written already and lie unread on a silent connection. */
    @Test
    void aKeyWithAnAttemptInFlightAtTheCanaryGoesToNoOlderBuildMeanwhile() {
        DecisionSimulation simulation = canaryOfHalf();
        int inFlight = 0;
        for (int i = 0; i < 60; i++) {
            simulation.advance(SECOND / 20);
            String key = "k" + i;
            SentAttempt first = simulation.inFlightOf(simulation.request(0, key));
            if (first != null && first.build() == 2) {
                inFlight++;
                // more of them than the cap allows
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
        assertTrue(inFlight > 3, "the canary had traffic: " + inFlight);
    }

    /** Its quick errors would draw a large part of the requests, and pass for a fault of its build. */
    @Test
    void anEndpointThatErrsAloneIsEjectedAndCondemnsNoBuild() {
        DecisionSimulation simulation = simulation(1);
        simulation.start(6);
        simulation.announce(2, 1, 0.5, RolloutPhase.CANARY);
        simulation.updateEndpoints(
                endpoint("t0", 2, 0, EndpointState.ACTIVE, 1), endpoint("t1", 2, 0, EndpointState.ACTIVE, 1));
        Set<String> faulty = Set.of("t0", "m0");
        int attemptsAtFaulty = 0;
        int lateAttemptsAtFaulty = 0;
        int lateAttemptsElsewhere = 0;
        for (int i = 0; i < 3000; i++) {
            simulation.advance(SECOND / 100);
            SentAttempt sent = simulation.inFlightOf(simulation.request(0, "k" + i));
            while (sent != null) {
                boolean isFaulty = faulty.contains(sent.endpointId());
                boolean isLate = i > 500;
                attemptsAtFaulty += isFaulty ? 1 : 0;
                lateAttemptsAtFaulty += isLate && isFaulty ? 1 : 0;
                lateAttemptsElsewhere += isLate && !isFaulty ? 1 : 0;
                simulation.end(sent, isFaulty ? AttemptOutcome.FAILED : AttemptOutcome.COMPLETED);
                sent = simulation.inFlightOf(sent.requestId());
            }
        }
        assertTrue(attemptsAtFaulty > 5, "they had their part at first: " + attemptsAtFaulty);
        assertTrue(
                lateAttemptsAtFaulty < lateAttemptsElsewhere / 20,
                "two of eight endpoints had " + lateAttemptsAtFaulty + ", the others " + lateAttemptsElsewhere);
        assertTrue(
                simulation.votes.stream().noneMatch(v -> v.verdict() == Verdict.ROLL_BACK),
                "the build is as good as its other endpoint");
        assertEquals(List.of(), simulation.violations);
    }

    @Test
    void aBuildThatLeavesTheListAndReturnsHasNoNewAllowance() {
        DecisionSimulation simulation = simulation(1);
        simulation.start(4);
        for (int flap = 0; flap < 6; flap++) {
            simulation.updateEndpoints(endpoint("t0", 2, 0, EndpointState.ACTIVE, 1));
            simulation.advance(SECOND / 5);
            // the last key in the slice asks for more than the cap allows
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
                "it has its share before it is announced");
        assertEquals(List.of(), simulation.violations);
    }

    @Test
    void anEndpointThatWarmsUpIsNotFloodedWhenAllOthersDie() {
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
        assertTrue(sent > 0 && sent < 30, "of 80 requests, where 20 in the window are usual for an endpoint: " + sent);
    }

    @Test
    void manyQuietNodesTogetherSpareAnEndpointThatWarmsUp() {
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
        assertTrue(sent > 0 && sent <= 10, "of 120 requests, where 4 in the window are usual for an endpoint: " + sent);
    }

    @Test
    void nodesBeginTheirTurnsAtDifferentEndpoints() {
        Set<String> firstEndpoints = new HashSet<>();
        for (int node = 0; node < 20; node++) {
            DecisionSimulation simulation = simulation(node);
            simulation.start(30);
            firstEndpoints.add(simulation.inFlightOf(simulation.request(0, "k")).endpointId());
        }
        assertTrue(firstEndpoints.size() > 8, "20 nodes began at " + firstEndpoints);
    }

    @Test
    void aSmallIdleEndpointGetsItsTurnsToo() {
        DecisionSimulation simulation = simulation(1);
        simulation.start(2);
        simulation.updateEndpoints(new Event.EndpointEntry("small", 1, 0, 0, 0, 0.5, EndpointState.ACTIVE, 0));
        simulation.runTraffic(5 * SECOND, 100, 500, 0, 0, new Random(1));
        assertTrue(
                simulation.sent.stream()
                                .filter(attempt -> attempt.endpointId().equals("small"))
                                .count()
                        >= 5,
                "of 50 requests");
    }

    @Test
    void aNodeThatShedsLoadFindsOutWhenTheFleetHasRecovered() {
        DecisionSimulation simulation = simulation(1);
        simulation.start(2);
        simulation.runTraffic(5 * SECOND, 20, 1000, 0, 0, new Random(1));
        simulation.runTraffic(6 * SECOND, 20, 15_000, 0, 0, new Random(2));
        simulation.runTraffic(10 * SECOND, 20, 1000, 0, 0, new Random(3));
        simulation.finalAnswers.clear();
        simulation.runTraffic(5 * SECOND, 20, 1000, 0, 0, new Random(4));
        assertEquals(0, simulation.finalAnswers.size(), "nothing is shed in calm");
    }

    @Test
    void badRequestsThatFailOnBothBuildsRollNoBuildBack() {
        DecisionSimulation simulation = RequestRulesTest.canary(5, 0.5, 0);
        simulation.runTraffic(8 * SECOND, 20, 1000, 0.3, 0.3, new Random(5));
        simulation.announce(2, 2, 1, RolloutPhase.RELEASED);
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
    void aFleetAtCapacityIsNotAskedByEveryRequestAtEveryEndpoint() {
        DecisionSimulation simulation = simulation(1);
        simulation.start(6);
        for (int i = 0; i < 200; i++) {
            simulation.nowTicks += 10 * MILLISECOND;
            String id = simulation.request(0, "k" + i);
            while (simulation.inFlightOf(id) != null) {
                simulation.end(simulation.inFlightOf(id), AttemptOutcome.OVERLOADED);
            }
        }
        assertTrue(simulation.sent.size() < 200 * 1.3, "attempts " + simulation.sent.size());
    }

    @Test
    void standingQueuesAreAvoidedBySheddingLoadEarly() {
        DecisionSimulation simulation = simulation(1);
        simulation.start(2);
        simulation.runTraffic(5 * SECOND, 20, 1000, 0, 0, new Random(1));
        assertEquals(0, simulation.finalAnswers.size(), "nothing is shed in calm");
        simulation.runTraffic(6 * SECOND, 20, 15_000, 0, 0, new Random(2));
        assertTrue(
                simulation.finalAnswers.stream()
                                .filter(a -> a instanceof Action.RejectRequest)
                                .count()
                        > 50,
                "rejections");
    }

    @Test
    void aBuildThatFailsIsVotedAgainstAndAGoodOneIsPromoted() {
        assertTrue(verdictsByErrorShare(0.2, 7).contains(Verdict.ROLL_BACK));
        List<Verdict> good = verdictsByErrorShare(0, 7);
        assertTrue(good.contains(Verdict.PROMOTE) && !good.contains(Verdict.ROLL_BACK), good.toString());
    }

    /** Of a hundred nodes, none has enough attempts of its own before a faulty build is released. */
    @Test
    void theCountsOfAllNodesSpeakWhereOneSeesFewAttemptsAndAnErrorOfItsOwn() {
        assertTrue(verdictsByStatistics(AttemptOutcome.FAILED, 3, 8).contains(Verdict.ROLL_BACK));
        assertFalse(
                verdictsByStatistics(AttemptOutcome.FAILED, 0, 8).contains(Verdict.ROLL_BACK),
                "an error of its own alone");
        assertFalse(
                verdictsByStatistics(AttemptOutcome.TIMED_OUT, 3, 8).contains(Verdict.ROLL_BACK),
                "attempts time out at endpoints that warm up, and are counted");
        assertFalse(
                verdictsByStatistics(AttemptOutcome.FAILED, 3, 2).contains(Verdict.ROLL_BACK),
                "half of so few endpoints may be faulty by themselves");
    }

    /**
     * Returns the verdicts of a node that has a request each half second, while the platform counts failures of the canary.
     *
     * @param firstOutcome of the node's own first attempt at the canary
     */
    private static Set<Verdict> verdictsByStatistics(AttemptOutcome firstOutcome, int failures, int endpointCount) {
        DecisionSimulation simulation = simulation(1);
        simulation.start(endpointCount);
        simulation.announce(2, 1, 0.5, RolloutPhase.CANARY);
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
        assertTrue(canaryAttempts > 1 && canaryAttempts < 20, "few attempts: " + canaryAttempts);
        Set<Verdict> all = new HashSet<>();
        simulation.votes.forEach(v -> all.add(v.verdict()));
        return all;
    }

    @Test
    void aBuildThatFailsOnlyAfterItsReleaseIsVotedAgainst() {
        DecisionSimulation simulation = RequestRulesTest.canary(4, 0.5, 0);
        simulation.runTraffic(6 * SECOND, 20, 1000, 0, 0, new Random(3));
        simulation.announce(2, 2, 1, RolloutPhase.RELEASED);
        simulation.votes.clear();
        simulation.runTraffic(6 * SECOND, 20, 1000, 0, 0.2, new Random(3));
        assertTrue(
                simulation.votes.stream().anyMatch(v -> v.verdict() == Verdict.ROLL_BACK), simulation.votes.toString());
    }

    @Test
    void aBuildThatAnswersWronglyIsVotedAgainstByComplaintsAlone() {
        assertTrue(verdictsByComplaints(0.25).contains(Verdict.ROLL_BACK));
        assertFalse(verdictsByComplaints(0).contains(Verdict.ROLL_BACK), "as many complaints of both builds");
    }

    /** Returns the verdicts where clients complain of a share of the canary's answers, and of 2% of all. */
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
    void aBuildThatIsSlowByItselfIsVotedAgainstAndOneThatSlowsAllIsToo() {
        assertTrue(verdictsByLatency(3000, 1000).contains(Verdict.ROLL_BACK), "slow beside the other");
        assertTrue(verdictsByLatency(2200, 2200).contains(Verdict.ROLL_BACK), "all slow since it has traffic");
        assertFalse(verdictsByLatency(1000, 1000).contains(Verdict.ROLL_BACK), "as before");
    }

    /** Returns the verdicts where answers take 100 ms before the rollout, and in it as long as given. */
    private static List<Verdict> verdictsByLatency(long canaryTicks, long stableTicks) {
        DecisionSimulation simulation =
                new DecisionSimulation(settings(false, 0, Settings.PromotionPolicy.FIRST_VOTE), 6);
        simulation.start(4);
        Random random = new Random(6);
        runAtLatency(simulation, 12 * SECOND, 1000, 1000, random);
        for (int i = 0; i < 4; i++) {
            simulation.updateEndpoints(endpoint("t" + i, 2, i % 2, EndpointState.ACTIVE, 1));
        }
        simulation.announce(2, 1, 0.5, RolloutPhase.CANARY);
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
    void keysOfAnyAlphabetAreSplitEvenly() {
        DecisionSimulation simulation = RequestRulesTest.canary(4, 0.5, 0);
        int sentToCanary = 0;
        for (int i = 0; i < 200; i++) {
            simulation.nowTicks += 20 * MILLISECOND;
            SentAttempt attempt =
                    simulation.inFlightOf(simulation.request(0, "" + (char) ('à' + i % 20) + (char) ('à' + i / 20)));
            sentToCanary += attempt.build() == 2 ? 1 : 0;
            simulation.end(attempt, AttemptOutcome.COMPLETED);
        }
        assertTrue(sentToCanary > 40 && sentToCanary < 120, "to the canary " + sentToCanary);
    }

    @Test
    void aRequestThatFailedAtTheCanaryGoesToTheStableBuild() {
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
        throw new AssertionError("no key went to the canary");
    }

    @Test
    void aSilentEndpointIsEjectedAndComesBack() {
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
        assertTrue(whileFailing < 20, "while failing " + whileFailing);
        assertTrue(afterwards > 0, "it is used again");
    }

    private static List<Verdict> verdictsByErrorShare(double errorShare, long seed) {
        DecisionSimulation simulation = RequestRulesTest.canary(seed, 0.5, 0);
        simulation.runTraffic(6 * SECOND, 20, 1000, 0, errorShare, new Random(seed));
        return simulation.votes.stream().map(Action.CastVote::verdict).toList();
    }
}
