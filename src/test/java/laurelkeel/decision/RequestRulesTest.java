package laurelkeel.decision;

import static laurelkeel.decision.DecisionSimulation.MILLISECOND;
import static laurelkeel.decision.DecisionSimulation.SECOND;
import static laurelkeel.decision.DecisionSimulation.endpoint;
import static laurelkeel.decision.DecisionSimulation.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import laurelkeel.api.Action;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.Event.EndpointState;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Settings;
import laurelkeel.decision.DecisionSimulation.SentAttempt;
import laurelkeel.partition.PartitionedDecider;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Checks the five rules that every decider must follow on generated event streams, for a decider of a single rollout
 * and for a partitioned decider of several concurrent rollouts.
 */
class RequestRulesTest {
    private static final AttemptOutcome[] OUTCOMES = {
        AttemptOutcome.COMPLETED,
        AttemptOutcome.COMPLETED,
        AttemptOutcome.COMPLETED,
        AttemptOutcome.COMPLETED,
        AttemptOutcome.FAILED,
        AttemptOutcome.OVERLOADED,
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.CONNECTION_LOST,
        AttemptOutcome.NOT_SENT
    };

    private static final List<EndpointState> ENDPOINT_STATES =
            List.of(EndpointState.ACTIVE, EndpointState.DRAINING, EndpointState.REMOVED);

    /** Runs a stream of events that is determined by the seed. */
    private static DecisionSimulation simulate(long seed, boolean isPartitioned) {
        Random random = new Random(seed);
        Settings settings = settings(random.nextBoolean(), random.nextInt(3), Settings.PromotionPolicy.FIRST_VOTE);
        DecisionSimulation simulation = new DecisionSimulation(
                settings,
                isPartitioned
                        ? new PartitionedDecider(settings, seed, RoutingDecider::new)
                        : new RoutingDecider(settings, seed));
        simulation.lostTimeoutRandom = new Random(seed);
        simulation.start(6);
        RolloutScript rollouts = new RolloutScript(simulation, isPartitioned ? 3 : 1, random);
        for (int i = 0; i < 1200; i++) {
            simulation.inFlight.forEach(simulation::refusalToWrite);
            int roll = random.nextInt(100);
            if (roll < 50) {
                simulation.request(random.nextInt(3), random.nextInt(5) == 0 ? null : "k" + random.nextInt(60));
            } else if (roll < 84 && !simulation.inFlight.isEmpty()) {
                simulation.end(
                        simulation.inFlight.get(random.nextInt(simulation.inFlight.size())),
                        OUTCOMES[random.nextInt(OUTCOMES.length)]);
            } else if (roll < 86 && !simulation.unanswered.isEmpty()) {
                simulation.disconnect(new TreeSet<>(simulation.unanswered.keySet()).first());
            } else if (roll < 90) {
                simulation.advanceByTimers(ticksToRandomBoundary(simulation, random));
            } else if (roll < 96) {
                simulation.advanceByTimers(random.nextInt(random.nextInt(10) == 0 ? 3000 : 150) * MILLISECOND);
            } else if (roll < 98) {
                updateEndpointsAtRandom(simulation, rollouts.newestBuild, random);
            } else {
                rollouts.advance();
            }
        }
        simulation.advanceByTimers(3 * SECOND);
        return simulation;
    }

    /**
     * Returns the time until one tick before, at or after the end of a randomly chosen window, grace period or timeout.
     */
    private static long ticksToRandomBoundary(DecisionSimulation simulation, Random random) {
        long[] spansTicks = {
            simulation.settings.rollout().exposureWindowTicks(),
            simulation.settings.limits().drainGraceTicks(),
            simulation.settings.routes().get(1).deduplicationWindowTicks(),
            2 * SECOND,
            800 * MILLISECOND
        };
        long sinceTicks = simulation.sent.isEmpty()
                ? simulation.nowTicks
                : simulation
                        .sent
                        .get(simulation.sent.size() - 1 - random.nextInt(Math.min(5, simulation.sent.size())))
                        .sentAtTicks();
        return Math.max(
                0,
                sinceTicks
                        + spansTicks[random.nextInt(spansTicks.length)]
                        + random.nextInt(3)
                        - 1
                        - simulation.nowTicks);
    }

    /** Sends a random update of the endpoint list, which may be inconsistent or omit endpoints. */
    private static void updateEndpointsAtRandom(DecisionSimulation simulation, int newestBuild, Random random) {
        EndpointState state = ENDPOINT_STATES.get(random.nextInt(3));
        int build = Math.max(1, newestBuild + random.nextInt(3) - 1);
        Event.EndpointEntry changed = endpoint(
                "m" + random.nextInt(9),
                build,
                random.nextInt(2),
                state,
                simulation.nowTicks + random.nextInt(70_000) - 60_000);
        if (random.nextInt(4) == 0) {
            List<Event.EndpointEntry> listed = new ArrayList<>(simulation.endpoints.values().stream()
                    .filter(entry -> random.nextInt(4) > 0)
                    .sorted(Comparator.comparing(Event.EndpointEntry::endpointId))
                    .toList());
            listed.removeIf(entry -> entry.endpointId().equals(changed.endpointId()));
            listed.add(changed);
            simulation.decide(List.of(new Event.EndpointListUpdate(
                    random.nextBoolean() ? Event.EndpointListKind.SNAPSHOT : Event.EndpointListKind.CACHED, listed)));
        } else {
            simulation.updateEndpoints(changed);
        }
    }

    /**
     * Simulates the control service: it advances one of its rollouts, rolls one back, or starts another. From time to
     * time its updates are lost for a while; afterwards it announces the ends of past rollouts and then the running ones, the
     * oldest first.
     */
    private static final class RolloutScript {
        final DecisionSimulation simulation;
        final int maxRollouts;
        final Random random;
        final TreeMap<Integer, Integer> stageByBuild = new TreeMap<>();
        int newestBuild = 1;
        int releasedBuild = 1;
        boolean areUpdatesLost;

        RolloutScript(DecisionSimulation simulation, int maxRollouts, Random random) {
            this.simulation = simulation;
            this.maxRollouts = maxRollouts;
            this.random = random;
        }

        void advance() {
            if (random.nextInt(4) == 0) {
                areUpdatesLost = !areUpdatesLost;
                if (!areUpdatesLost) {
                    catchUp();
                }
            }
            if (stageByBuild.size() < maxRollouts && (stageByBuild.isEmpty() || random.nextBoolean())) {
                int build = ++newestBuild;
                stageByBuild.put(build, 0);
                for (int i = 0; i < 2; i++) {
                    simulation.updateEndpoints(endpoint(
                            "b" + build + "." + i,
                            build,
                            i,
                            EndpointState.ACTIVE,
                            random.nextBoolean() ? 0 : simulation.nowTicks));
                }
                announceCanary(build);
                return;
            }
            int build = new ArrayList<>(stageByBuild.keySet()).get(random.nextInt(stageByBuild.size()));
            int stage = stageByBuild.get(build);
            if (random.nextInt(4) == 0) {
                stageByBuild.remove(build);
                announceEnd(build, stage, RolloutPhase.ROLLING_BACK);
                announceEnd(build, stage, RolloutPhase.ROLLED_BACK);
            } else if (stage + 1
                    < simulation.settings.rollout().stageExposureCaps().size()) {
                stageByBuild.put(build, stage + 1);
                announceCanary(build);
            } else {
                // the release also ends all older rollouts, whose ends are announced first
                for (int older : List.copyOf(stageByBuild.headMap(build).keySet())) {
                    announceEnd(older, stageByBuild.remove(older), RolloutPhase.ROLLED_BACK);
                }
                stageByBuild.remove(build);
                releasedBuild = build;
                if (!areUpdatesLost) {
                    simulation.updateRollout(build, stage, 1, RolloutPhase.RELEASED);
                }
            }
        }

        private void announceCanary(int build) {
            if (!areUpdatesLost) {
                int stage = stageByBuild.get(build);
                simulation.updateRollout(
                        build,
                        stage,
                        simulation.settings.rollout().stageExposureCaps().get(stage),
                        RolloutPhase.CANARY);
            }
        }

        private void announceEnd(int build, int stage, RolloutPhase phase) {
            if (!areUpdatesLost) {
                simulation.updateRollout(build, stage, 0, phase);
            }
        }

        private void catchUp() {
            for (Event.RolloutUpdate update : List.copyOf(simulation.lastUpdateByBuild.values())) {
                if (update.phase() == RolloutPhase.CANARY
                        && !stageByBuild.containsKey(update.build())
                        && update.build() != releasedBuild) {
                    simulation.updateRollout(update.build(), update.stage(), 0, RolloutPhase.ROLLED_BACK);
                }
            }
            simulation.updateRollout(releasedBuild, 0, 1, RolloutPhase.RELEASED);
            List.copyOf(stageByBuild.keySet()).forEach(this::announceCanary);
        }
    }

    private static void assertRuleHolds(int rule, long seed) {
        for (boolean isPartitioned : new boolean[] {false, true}) {
            DecisionSimulation simulation = simulate(seed, isPartitioned);
            assertEquals(List.of(), simulation.violationsOf(rule), isPartitioned ? "partitioned" : "single rollout");
            assertTrue(simulation.unanswered.isEmpty(), "every request has its final answer");
            assertTrue(simulation.sent.size() > 100, "the stream must contain enough attempts");
        }
    }

    @Property(tries = 60, seed = "1", shrinking = ShrinkingMode.OFF)
    void rule1EachRequestHasOneAnswerInTimeAndImmediatelyIfNothingIsInFlight(@ForAll long seed) {
        assertRuleHolds(1, seed);
    }

    @Property(tries = 60, seed = "2", shrinking = ShrinkingMode.OFF)
    void rule2NoRequestTakesEffectTwiceAndRejectedRequestsHaveNoEffect(@ForAll long seed) {
        assertRuleHolds(2, seed);
    }

    @Property(tries = 60, seed = "3", shrinking = ShrinkingMode.OFF)
    void rule3NothingIsSentToADrainingOrRemovedEndpointAfterTheGracePeriod(@ForAll long seed) {
        assertRuleHolds(3, seed);
    }

    @Property(tries = 200, seed = "5", shrinking = ShrinkingMode.OFF)
    void rule5ExposureCapsGuardedStagesAndStickyKeysAreRespected(@ForAll long seed) {
        assertRuleHolds(5, seed);
    }

    /** Simulates many nodes whose warm endpoints are removed while others start. */
    @Property(tries = 25, seed = "4", shrinking = ShrinkingMode.OFF)
    void rule4AllNodesTogetherDoNotOverloadAnEndpointThatIsWarmingUp(@ForAll long seed) {
        new WarmUpScenario(seed).run();
    }

    /**
     * After fifteen seconds of steady traffic, most endpoints are replaced simultaneously by a few that have just
     * started.
     */
    private static final class WarmUpScenario {
        private static final long LATENCY_TICKS = 40 * MILLISECOND;
        private static final long TRAFFIC_BEFORE_TICKS = 15 * SECOND;
        private static final long TRAFFIC_AFTER_TICKS = 5 * SECOND;

        private final Settings settings = settings(false, 0, Settings.PromotionPolicy.VOTE_COUNT);
        private final Settings.Limits limits = settings.limits();
        private final List<DecisionSimulation> nodes = new ArrayList<>();
        private final Random random;
        private final int nodeCount;
        private final int endpointCount;
        private final long intervalTicks;
        private final int retainedCount;
        private final int startedCount;

        WarmUpScenario(long seed) {
            random = new Random(seed);
            nodeCount = 1 + random.nextInt(24);
            endpointCount = 4 + random.nextInt(12);
            intervalTicks = (1 + random.nextInt(12)) * MILLISECOND;
            boolean isPartitioned = random.nextBoolean();
            for (int i = 0; i < nodeCount; i++) {
                Decider decider = isPartitioned
                        ? new PartitionedDecider(settings, i, RoutingDecider::new)
                        : new RoutingDecider(settings, i);
                nodes.add(new DecisionSimulation(settings, decider));
                nodes.get(i).start(endpointCount);
            }
            retainedCount = random.nextInt(endpointCount / 2);
            startedCount = 1 + random.nextInt(3);
        }

        void run() {
            long nowTicks = nodes.get(0).nowTicks;
            long replacedAtTicks = nowTicks + TRAFFIC_BEFORE_TICKS;
            long endTicks = replacedAtTicks + TRAFFIC_AFTER_TICKS;
            boolean isReplaced = false;
            int requestCount = 0;
            while (nowTicks < endTicks) {
                nowTicks += intervalTicks;
                if (!isReplaced && nowTicks >= replacedAtTicks) {
                    isReplaced = true;
                    replaceEndpoints(nowTicks);
                }
                serve(nodes.get(random.nextInt(nodeCount)), nowTicks, "k" + requestCount++);
            }
            for (int i = 0; i < startedCount; i++) {
                checkAttempts("c" + i, replacedAtTicks);
            }
        }

        private void replaceEndpoints(long nowTicks) {
            for (DecisionSimulation node : nodes) {
                node.nowTicks = nowTicks;
                for (int i = retainedCount; i < endpointCount; i++) {
                    node.updateEndpoints(endpoint("m" + i, 1, i % 2, EndpointState.REMOVED, 0));
                }
                for (int i = 0; i < startedCount; i++) {
                    node.updateEndpoints(endpoint("c" + i, 1, i % 2, EndpointState.ACTIVE, nowTicks));
                }
            }
        }

        private void serve(DecisionSimulation node, long nowTicks, String key) {
            node.nowTicks = nowTicks;
            for (SentAttempt attempt : List.copyOf(node.inFlight)) {
                if (nowTicks >= attempt.sentAtTicks() + LATENCY_TICKS) {
                    node.end(attempt, AttemptOutcome.COMPLETED);
                }
            }
            node.request(random.nextInt(2) * 2, key);
        }

        private void checkAttempts(String endpointId, long startedAtTicks) {
            double usualAttempts = limits.overloadWindowTicks() / (double) intervalTicks / endpointCount;
            List<Long> sentAtTicks = nodes.stream()
                    .flatMap(node -> node.sent.stream())
                    .filter(attempt -> attempt.endpointId().equals(endpointId))
                    .map(SentAttempt::sentAtTicks)
                    .sorted()
                    .toList();
            int from = 0;
            for (int to = 0; to < sentAtTicks.size(); to++) {
                while (sentAtTicks.get(from) <= sentAtTicks.get(to) - limits.overloadWindowTicks()) {
                    from++;
                }
                double progress = Math.min(1, (sentAtTicks.get(to) - startedAtTicks) / (double) limits.warmUpTicks());
                double share = limits.warmUpInitialShare() + (1 - limits.warmUpInitialShare()) * progress;
                // each node rounds its fractional limit at random; the margin is three standard deviations of the sum
                double maxAttempts = limits.overloadMultiple() * share * usualAttempts + 1.5 * Math.sqrt(nodeCount);
                int attempts = to - from + 1;
                assertTrue(
                        attempts <= maxAttempts,
                        endpointId + " received " + attempts + " attempts of at most " + maxAttempts + ", from "
                                + nodeCount + " nodes");
            }
        }
    }

    /** The canary must receive its share of the requests, not only stay below its cap. */
    @Property(tries = 20, seed = "7", shrinking = ShrinkingMode.OFF)
    void theCanarySliceGoesToTheCanaryWhileTheCapAllows(@ForAll long seed) {
        DecisionSimulation simulation = canary(seed, 0.5, 0);
        int sentToCanary = 0;
        for (int i = 0; i < 300; i++) {
            simulation.nowTicks += 20 * MILLISECOND;
            String id = simulation.request(0, "k" + i);
            assertTrue(
                    simulation.inFlightOf(id) != null,
                    simulation.nowTicks + ": request not sent, last actions: " + simulation.lastActions);
            sentToCanary += simulation.inFlightOf(id) != null
                            && simulation.inFlightOf(id).build() == 2
                    ? 1
                    : 0;
            simulation.end(simulation.inFlightOf(id), AttemptOutcome.COMPLETED);
        }
        assertTrue(
                sentToCanary > 0.3 * 300 && sentToCanary < 0.5 * 300, "share of the canary: " + sentToCanary / 300.0);
        assertEquals(List.of(), simulation.violations);
    }

    static DecisionSimulation canary(long seed, double cap, int guardedStages) {
        DecisionSimulation simulation =
                new DecisionSimulation(settings(false, guardedStages, Settings.PromotionPolicy.FIRST_VOTE), seed);
        simulation.start(4);
        for (int i = 0; i < 4; i++) {
            simulation.updateEndpoints(endpoint("t" + i, 2, i % 2, EndpointState.ACTIVE, 1));
        }
        simulation.nowTicks += 20 * SECOND;
        simulation.updateRollout(2, guardedStages > 0 ? 0 : 1, cap, RolloutPhase.CANARY);
        simulation.advance(SECOND);
        return simulation;
    }

    @Property(tries = 10, seed = "3", shrinking = ShrinkingMode.OFF)
    void theSameEventsGiveTheSameActions(@ForAll long seed) {
        List<List<Action>> actionsByRun = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            DecisionSimulation simulation = canary(seed, 0.5, 0);
            simulation.runTraffic(3 * SECOND, 10, 1000, 0, 0, new Random(seed));
            actionsByRun.add(new ArrayList<>(simulation.lastActions));
            actionsByRun.get(run).addAll(simulation.finalAnswers);
        }
        assertEquals(actionsByRun.get(0), actionsByRun.get(1));
    }

    @Property(tries = 1, seed = "1")
    void slicesOfTwoBuildsAreIndependent() {
        int inBoth = 0;
        int inFirst = 0;
        List<DecisionSimulation> simulations = List.of(canary(1, 0.5, 0), canary(2, 0.5, 0));
        simulations
                .get(1)
                .updateEndpoints(
                        endpoint("u0", 3, 0, EndpointState.ACTIVE, 1),
                        endpoint("u1", 3, 1, EndpointState.ACTIVE, 1),
                        endpoint("u2", 3, 0, EndpointState.ACTIVE, 1),
                        endpoint("u3", 3, 1, EndpointState.ACTIVE, 1));
        simulations.get(1).updateRollout(3, 1, 0.5, RolloutPhase.CANARY);
        simulations.get(1).advance(SECOND);
        for (int i = 0; i < 600; i++) {
            boolean[] isInSlice = new boolean[2];
            for (int index = 0; index < 2; index++) {
                DecisionSimulation simulation = simulations.get(index);
                simulation.nowTicks += 20 * MILLISECOND;
                SentAttempt attempt = simulation.inFlightOf(simulation.request(0, "key" + i));
                isInSlice[index] = attempt.build() == 2 + index;
                simulation.end(attempt, AttemptOutcome.COMPLETED);
            }
            inFirst += isInSlice[0] ? 1 : 0;
            inBoth += isInSlice[0] && isInSlice[1] ? 1 : 0;
        }
        double overlap = inBoth / (double) inFirst;
        assertTrue(overlap > 0.25 && overlap < 0.55, "overlap: " + overlap);
        assertFalse(inFirst == 0);
    }
}
