package laurelkeel.decision;

import static laurelkeel.decision.DecisionFixtures.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Event.RolloutUpdate;
import laurelkeel.api.Settings.Idempotency;
import laurelkeel.api.Settings.PromotionPolicy;
import org.junit.jupiter.api.Test;

class RolloutStateTest {
    private static final int GUARDED_STAGES = 1;
    private static final long NOW_TICKS = 100 * SECOND;

    private final RolloutState rollout =
            new RolloutState(DecisionSimulation.settings(false, GUARDED_STAGES, PromotionPolicy.FIRST_VOTE)
                    .rollout());
    private final Map<Integer, Double> capacities = new LinkedHashMap<>();

    private final class Capacities implements BuildCapacities {
        @Override
        public Collection<Integer> activeBuilds() {
            return capacities.keySet();
        }

        @Override
        public int newestActiveBuild() {
            return capacities.keySet().stream().mapToInt(b -> b).max().orElse(Integer.MIN_VALUE);
        }

        @Override
        public double currentCapacity(int build, long nowTicks) {
            return capacities.getOrDefault(build, 0.0);
        }
    }

    private static RolloutUpdate update(ControlStatus status, int build, int stage, double cap, RolloutPhase phase) {
        return new RolloutUpdate(status, stage, cap, SECOND, phase, build, false);
    }

    private void announce(int build, int stage, double cap, RolloutPhase phase) {
        rollout.apply(update(ControlStatus.OK, build, stage, cap, phase), NOW_TICKS);
        select();
    }

    private void select() {
        rollout.selectBuilds(new Capacities(), NOW_TICKS);
    }

    @Test
    void updatesOfOlderBuildsAndFailedCallsAreNotCurrent() {
        announce(3, 0, 0.1, RolloutPhase.CANARY);
        assertFalse(rollout.isCurrent(update(ControlStatus.OK, 2, 2, 1, RolloutPhase.RELEASED), NOW_TICKS));
        assertFalse(rollout.isCurrent(update(ControlStatus.STALE, 3, 1, 0.5, RolloutPhase.CANARY), NOW_TICKS));
        assertTrue(rollout.isCurrent(update(ControlStatus.OK, 3, 1, 0.5, RolloutPhase.CANARY), NOW_TICKS));
    }

    /** Guards against a build that is rolled back serving again because an older update arrives after a newer one. */
    @Test
    void anUpdateToAnEarlierPhaseIsNotCurrentUnlessTheRolloutBeginsAnew() {
        List<RolloutPhase> phases = List.of(
                RolloutPhase.CANARY, RolloutPhase.RELEASED, RolloutPhase.ROLLING_BACK, RolloutPhase.ROLLED_BACK);
        long delayedTicks = NOW_TICKS + 4 * SECOND;
        for (RolloutPhase known : phases) {
            announce(2, 1, 0, known);
            for (RolloutPhase next : phases) {
                RolloutUpdate update = update(ControlStatus.OK, 2, 1, 1, next);
                boolean isEarlier = phases.indexOf(next) < phases.indexOf(known);
                assertEquals(!isEarlier, rollout.isCurrent(update, delayedTicks), known + " " + next);
                assertTrue(rollout.isCurrent(update, NOW_TICKS + 10 * SECOND), "it is one second old");
            }
        }
        RolloutUpdate lowerStage = update(ControlStatus.OK, 3, 0, 0.1, RolloutPhase.CANARY);
        announce(3, 1, 0.5, RolloutPhase.CANARY);
        assertTrue(rollout.isCurrent(lowerStage, delayedTicks), "a lower cap applies as soon as it is announced");
    }

    @Test
    void stageStartsWhenTheBuildStageOrPhaseChanges() {
        RolloutUpdate first = update(ControlStatus.OK, 2, 0, 0.1, RolloutPhase.CANARY);
        assertTrue(rollout.apply(first, NOW_TICKS));
        assertFalse(rollout.apply(first, NOW_TICKS + SECOND));
        assertEquals(NOW_TICKS - SECOND, rollout.stageStartedAtTicks(), "the update was one second old");
        assertTrue(rollout.apply(update(ControlStatus.OK, 2, 1, 0.5, RolloutPhase.CANARY), NOW_TICKS));
    }

    @Test
    void newerBuildThanTheReleasedOneIsACanaryBeforeItsAnnouncement() {
        capacities.put(1, 4.0);
        announce(1, 2, 1, RolloutPhase.RELEASED);
        assertEquals(1, rollout.stableBuild());
        assertFalse(rollout.hasCanary());
        capacities.put(2, 1.0);
        select();
        assertEquals(2, rollout.canaryBuild());
        assertEquals(0.1, rollout.exposureCap(), "the cap of the first stage");
        announce(2, 1, 0.5, RolloutPhase.CANARY);
        assertEquals(0.5, rollout.exposureCap());
        assertEquals(1, rollout.stableBuild());
        assertEquals(1, rollout.baselineBuild());
    }

    @Test
    void guardedStagesExposeOnlyIdempotentRequests() {
        announce(1, 2, 1, RolloutPhase.RELEASED);
        announce(2, 0, 0.1, RolloutPhase.CANARY);
        assertTrue(rollout.mayExpose(Idempotency.IDEMPOTENT));
        assertFalse(rollout.mayExpose(Idempotency.DEDUPLICATED));
        announce(2, 1, 0.5, RolloutPhase.CANARY);
        assertTrue(rollout.mayExpose(Idempotency.NOT_IDEMPOTENT));
        announce(2, 1, 0, RolloutPhase.CANARY);
        assertFalse(rollout.mayExpose(Idempotency.IDEMPOTENT), "a cap of 0");
    }

    @Test
    void olderBuildWithMostCapacityIsStableWithoutARelease() {
        capacities.put(1, 2.0);
        capacities.put(2, 5.0);
        capacities.put(3, 9.0);
        announce(3, 0, 0.1, RolloutPhase.CANARY);
        assertEquals(2, rollout.stableBuild());
    }

    @Test
    void buildRolledBackAfterItsReleaseIsNotStable() {
        capacities.put(2, 5.0);
        announce(2, 2, 1, RolloutPhase.RELEASED);
        announce(2, 2, 0, RolloutPhase.ROLLING_BACK);
        assertEquals(RolloutState.NO_BUILD, rollout.stableBuild());
        assertFalse(rollout.hasCanary());
    }

    @Test
    void lastStableBuildRemainsWhileNoOtherHasEndpoints() {
        capacities.put(1, 5.0);
        announce(1, 2, 1, RolloutPhase.RELEASED);
        announce(2, 1, 0.5, RolloutPhase.CANARY);
        capacities.remove(1);
        select();
        assertEquals(1, rollout.stableBuild());
    }

    @Test
    void buildIsEvaluatedAsCanaryAndForAWhileAfterItsRelease() {
        announce(1, 2, 1, RolloutPhase.RELEASED);
        assertEquals(RolloutState.NO_BUILD, rollout.evaluatedBuild(NOW_TICKS), "there is no baseline");
        announce(2, 1, 0.5, RolloutPhase.CANARY);
        assertEquals(2, rollout.evaluatedBuild(NOW_TICKS));
        announce(2, 2, 1, RolloutPhase.RELEASED);
        assertEquals(1, rollout.baselineBuild());
        long endTicks = rollout.stageStartedAtTicks() + 25 * SECOND;
        assertEquals(2, rollout.evaluatedBuild(endTicks - 1));
        assertEquals(RolloutState.NO_BUILD, rollout.evaluatedBuild(endTicks));
    }

    @Test
    void buildsNewerThanTheStableOneBindKeysUnlessRolledBack() {
        announce(1, 2, 1, RolloutPhase.RELEASED);
        assertFalse(rollout.bindsKeys(1));
        assertTrue(rollout.bindsKeys(2));
        announce(2, 0, 0.1, RolloutPhase.CANARY);
        announce(2, 0, 0, RolloutPhase.ROLLING_BACK);
        assertFalse(rollout.bindsKeys(2));
    }
}
