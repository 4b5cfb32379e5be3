package laurelkeel.partition;

import static laurelkeel.partition.ConcurrentRolloutsTest.update;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import laurelkeel.api.Event.RolloutPhase;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class StickyKeyBindingsTest {
    private static final String KEY = "k";
    private static final int ONE_PARTITION = 0;
    private static final int OTHER_PARTITION = 1;

    private final ConcurrentRollouts rollouts = new ConcurrentRollouts(List.of(0.1));
    private final StickyKeyBindings bindings = new StickyKeyBindings(true, rollouts);

    @BeforeEach
    void startRollouts() {
        rollouts.apply(update(1, 0, 1, RolloutPhase.RELEASED), 0);
        rollouts.apply(update(2, 0, 0.1, RolloutPhase.CANARY), 0);
        rollouts.apply(update(3, 0, 0.1, RolloutPhase.CANARY), 0);
    }

    private void serve(int build, int partitionId) {
        bindings.onAttemptSent(KEY, build);
        bindings.onAttemptEnded(KEY, build, partitionId, true);
    }

    @Test
    void aKeyStaysInThePartitionInWhichACanaryServedIt() {
        assertEquals(StickyKeyBindings.NO_PARTITION, bindings.partitionOf(KEY));
        serve(1, ONE_PARTITION);
        assertEquals(StickyKeyBindings.NO_PARTITION, bindings.partitionOf(KEY), "the released build binds no key");
        serve(3, ONE_PARTITION);
        assertEquals(ONE_PARTITION, bindings.partitionOf(KEY));
        serve(2, OTHER_PARTITION);
        assertEquals(
                ONE_PARTITION, bindings.partitionOf(KEY), "a late answer of an earlier build does not rebind the key");
    }

    @Test
    void anAttemptThatProvablyNeverRanBindsNoKey() {
        bindings.onAttemptSent(KEY, 2);
        bindings.onAttemptEnded(KEY, 2, ONE_PARTITION, false);
        assertEquals(0, bindings.size());
    }

    @Test
    void aLaterBuildInAnotherPartitionForbidsAnEarlierOne() {
        serve(3, ONE_PARTITION);
        assertTrue(bindings.isServedByLaterBuild(KEY, 2, OTHER_PARTITION, false));
        assertFalse(bindings.isServedByLaterBuild(KEY, 3, OTHER_PARTITION, false));
        assertFalse(
                bindings.isServedByLaterBuild(KEY, 2, ONE_PARTITION, false),
                "the partition's own decider enforces this");
        assertFalse(bindings.isServedByLaterBuild(null, 2, OTHER_PARTITION, false));
    }

    @Test
    void anAttemptInFlightForbidsAnEarlierBuildOnlyWithSeveralPartitions() {
        bindings.onAttemptSent(KEY, 3);
        assertTrue(bindings.isServedByLaterBuild(KEY, 2, ONE_PARTITION, true));
        assertFalse(bindings.isServedByLaterBuild(KEY, 2, ONE_PARTITION, false));
        bindings.onAttemptEnded(KEY, 3, ONE_PARTITION, false);
        assertFalse(bindings.isServedByLaterBuild(KEY, 2, ONE_PARTITION, true));
    }

    @Test
    void aRollbackUnbindsTheKeys() {
        serve(3, ONE_PARTITION);
        rollouts.apply(update(3, 0, 0, RolloutPhase.ROLLING_BACK), 0);
        assertFalse(bindings.isServedByLaterBuild(KEY, 2, OTHER_PARTITION, true));
        bindings.removeEndedRollouts();
        assertEquals(0, bindings.size());
    }

    @Test
    void withoutStickyKeysNoKeyIsBound() {
        StickyKeyBindings disabledBindings = new StickyKeyBindings(false, rollouts);
        disabledBindings.onAttemptSent(KEY, 3);
        disabledBindings.onAttemptEnded(KEY, 3, ONE_PARTITION, true);
        assertEquals(0, disabledBindings.size());
        assertFalse(disabledBindings.isServedByLaterBuild(KEY, 2, OTHER_PARTITION, true));
    }
}
