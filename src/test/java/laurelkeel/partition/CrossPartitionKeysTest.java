package laurelkeel.partition;

import static laurelkeel.partition.ConcurrentRolloutsTest.update;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import laurelkeel.api.Event.RolloutPhase;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CrossPartitionKeysTest {
    private static final String KEY = "k";
    private static final int ONE_PARTITION = 0;
    private static final int OTHER_PARTITION = 1;

    private final ConcurrentRollouts rollouts = new ConcurrentRollouts(List.of(0.1));
    private final CrossPartitionKeys keys = new CrossPartitionKeys(true, rollouts);

    @BeforeEach
    void startRollouts() {
        rollouts.apply(update(1, 0, 1, RolloutPhase.RELEASED));
        rollouts.apply(update(2, 0, 0.1, RolloutPhase.CANARY));
        rollouts.apply(update(3, 0, 0.1, RolloutPhase.CANARY));
    }

    private void serve(int build, int partitionId) {
        keys.onAttemptSent(KEY, build);
        keys.onAttemptEnded(KEY, build, partitionId, true);
    }

    @Test
    void aKeyStaysInThePartitionWhereACanaryServedIt() {
        assertEquals(CrossPartitionKeys.NO_PARTITION, keys.partitionOf(KEY));
        serve(1, ONE_PARTITION);
        assertEquals(CrossPartitionKeys.NO_PARTITION, keys.partitionOf(KEY), "the released build binds no key");
        serve(3, ONE_PARTITION);
        assertEquals(ONE_PARTITION, keys.partitionOf(KEY));
        serve(2, OTHER_PARTITION);
        assertEquals(ONE_PARTITION, keys.partitionOf(KEY), "a late answer of an earlier build");
    }

    @Test
    void anAttemptThatSurelyDidNothingBindsNoKey() {
        keys.onAttemptSent(KEY, 2);
        keys.onAttemptEnded(KEY, 2, ONE_PARTITION, false);
        assertEquals(0, keys.size());
    }

    @Test
    void aLaterBuildOfAnotherPartitionForbidsAnEarlierOne() {
        serve(3, ONE_PARTITION);
        assertTrue(keys.isServedByLaterBuild(KEY, 2, OTHER_PARTITION, false));
        assertFalse(keys.isServedByLaterBuild(KEY, 3, OTHER_PARTITION, false));
        assertFalse(keys.isServedByLaterBuild(KEY, 2, ONE_PARTITION, false), "its own decider knows");
        assertFalse(keys.isServedByLaterBuild(null, 2, OTHER_PARTITION, false));
    }

    @Test
    void anAttemptInFlightCountsAmongSeveralPartitions() {
        keys.onAttemptSent(KEY, 3);
        assertTrue(keys.isServedByLaterBuild(KEY, 2, ONE_PARTITION, true));
        assertFalse(keys.isServedByLaterBuild(KEY, 2, ONE_PARTITION, false));
        keys.onAttemptEnded(KEY, 3, ONE_PARTITION, false);
        assertFalse(keys.isServedByLaterBuild(KEY, 2, ONE_PARTITION, true));
    }

    @Test
    void aRollbackFreesTheKeys() {
        serve(3, ONE_PARTITION);
        rollouts.apply(update(3, 0, 0, RolloutPhase.ROLLING_BACK));
        assertFalse(keys.isServedByLaterBuild(KEY, 2, OTHER_PARTITION, true));
        keys.forgetEndedRollouts();
        assertEquals(0, keys.size());
    }

    @Test
    void withoutStickyKeysNothingIsBound() {
        CrossPartitionKeys unbound = new CrossPartitionKeys(false, rollouts);
        unbound.onAttemptSent(KEY, 3);
        unbound.onAttemptEnded(KEY, 3, ONE_PARTITION, true);
        assertEquals(0, unbound.size());
        assertFalse(unbound.isServedByLaterBuild(KEY, 2, OTHER_PARTITION, true));
    }
}
