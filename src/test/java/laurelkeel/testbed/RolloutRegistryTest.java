package laurelkeel.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import laurelkeel.records.RecordTerms.RolloutPhase;
import org.junit.jupiter.api.Test;

class RolloutRegistryTest {
    private final RolloutRegistry registry = new RolloutRegistry();

    private Rollout add(int build, RolloutPhase phase) {
        Rollout rollout = new Rollout(BuildProfile.healthy(build), phase, 0, 0);
        registry.add(rollout);
        return rollout;
    }

    @Test
    void rolloutsBeingRolledBackAreUnfinishedButNotCanaries() {
        Rollout canary = add(4, RolloutPhase.CANARY);
        add(3, RolloutPhase.ROLLING_BACK);
        add(2, RolloutPhase.ROLLED_BACK);
        add(1, RolloutPhase.RELEASED);
        assertEquals(2, registry.unfinishedCount());
        assertEquals(List.of(canary), registry.canaries());
    }

    @Test
    void buildBeforeIsTheNextLowerKnownBuildOrAHealthyOne() {
        add(5, RolloutPhase.CANARY);
        add(2, RolloutPhase.RELEASED);
        assertEquals(2, registry.buildBefore(5).number());
        assertEquals(BuildProfile.healthy(1), registry.buildBefore(2));
    }

    @Test
    void removingAnEarlierRolloutKeepsALaterOneOfTheSameBuild() {
        Rollout earlier = add(2, RolloutPhase.ROLLED_BACK);
        add(2, RolloutPhase.CANARY);
        registry.remove(earlier);
        assertNotNull(registry.get(2));
        assertNull(registry.get(3));
    }
}
