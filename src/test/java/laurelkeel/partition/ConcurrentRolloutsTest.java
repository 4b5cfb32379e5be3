package laurelkeel.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalDouble;
import laurelkeel.api.Event.ControlStatus;
import laurelkeel.api.Event.RolloutPhase;
import laurelkeel.api.Event.RolloutUpdate;
import org.junit.jupiter.api.Test;

class ConcurrentRolloutsTest {
    private final ConcurrentRollouts rollouts = new ConcurrentRollouts(List.of(0.1, 1.0));

    static RolloutUpdate update(int build, int stage, double cap, RolloutPhase phase) {
        return new RolloutUpdate(ControlStatus.OK, stage, cap, 0, phase, build, false);
    }

    private boolean apply(int build, RolloutPhase phase) {
        return rollouts.apply(update(build, 0, 0.3, phase), 0);
    }

    @Test
    void anUpdateThatRepeatsTheStateChangesNothing() {
        assertTrue(apply(2, RolloutPhase.CANARY));
        assertFalse(apply(2, RolloutPhase.CANARY));
        assertTrue(rollouts.apply(update(2, 1, 0.3, RolloutPhase.CANARY), 0));
    }

    @Test
    void aReleaseEndsEarlierRollouts() {
        apply(2, RolloutPhase.CANARY);
        apply(3, RolloutPhase.CANARY);
        apply(4, RolloutPhase.CANARY);
        apply(3, RolloutPhase.RELEASED);
        assertNull(rollouts.find(2));
        assertEquals(3, rollouts.releasedBuild());
        assertFalse(rollouts.isCanary(3));
        assertTrue(rollouts.isCanary(4));
        apply(2, RolloutPhase.RELEASED);
        assertEquals(3, rollouts.releasedBuild(), "an earlier build does not replace it");
    }

    @Test
    void theMinimumBaselineLastsAsLongAsItsCanary() {
        apply(2, RolloutPhase.CANARY);
        apply(3, RolloutPhase.CANARY);
        rollouts.raiseMinimumBaseline(3);
        rollouts.raiseMinimumBaseline(2);
        assertEquals(3, rollouts.minimumBaseline());
        apply(2, RolloutPhase.RELEASED);
        assertEquals(3, rollouts.minimumBaseline());
        apply(3, RolloutPhase.ROLLING_BACK);
        assertEquals(ConcurrentRollouts.NO_BUILD, rollouts.minimumBaseline());
        rollouts.raiseMinimumBaseline(4);
        apply(5, RolloutPhase.RELEASED);
        assertEquals(ConcurrentRollouts.NO_BUILD, rollouts.minimumBaseline());
    }

    @Test
    void onlyBuildsThatMayStillBeReleasedBindKeys() {
        apply(2, RolloutPhase.RELEASED);
        apply(3, RolloutPhase.CANARY);
        apply(4, RolloutPhase.ROLLED_BACK);
        assertFalse(rollouts.bindsStickyKeys(1));
        assertFalse(rollouts.bindsStickyKeys(2));
        assertTrue(rollouts.bindsStickyKeys(3));
        assertFalse(rollouts.bindsStickyKeys(4));
        assertTrue(rollouts.bindsStickyKeys(5), "its rollout may have begun");
    }

    @Test
    void aBuildLaterThanAllUpdatesHasTheCapOfTheFirstStage() {
        assertEquals(OptionalDouble.empty(), rollouts.exposureCap(2), "no rollout is known");
        apply(2, RolloutPhase.RELEASED);
        apply(4, RolloutPhase.CANARY);
        assertEquals(OptionalDouble.empty(), rollouts.exposureCap(2));
        assertEquals(OptionalDouble.empty(), rollouts.exposureCap(3));
        assertEquals(OptionalDouble.of(0.3), rollouts.exposureCap(4));
        assertEquals(OptionalDouble.of(0.1), rollouts.exposureCap(5));
    }
}
