package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class StickyKeysTest {
    private final StickyKeys keys = new StickyKeys();

    @Test
    void doesNotAllowOlderBuildsForAServedKey() {
        keys.served("a", 3);
        keys.served("a", 2);
        assertEquals(3, keys.oldestAllowedBuild("a"));
        assertEquals(StickyKeys.NO_BUILD, keys.oldestAllowedBuild("b"));
    }

    @Test
    void attemptInFlightBindsItsKeyUntilItEnds() {
        keys.attemptSent("a", 2);
        keys.attemptSent("a", 2);
        keys.attemptEnded("a", 2);
        assertEquals(2, keys.oldestAllowedBuild("a"), "one more is in flight");
        keys.attemptEnded("a", 2);
        assertEquals(StickyKeys.NO_BUILD, keys.oldestAllowedBuild("a"));
    }

    @Test
    void ignoresTheEndOfAnAttemptThatWasNotRecorded() {
        keys.attemptSent("a", 3);
        keys.attemptEnded("a", 2);
        keys.attemptEnded("b", 2);
        assertEquals(3, keys.oldestAllowedBuild("a"));
    }

    @Test
    void rollbackUnbindsOnlyTheKeysOfItsBuild() {
        keys.served("a", 2);
        keys.served("b", 3);
        keys.attemptSent("c", 3);
        keys.buildRolledBack(3);
        assertEquals(2, keys.oldestAllowedBuild("a"));
        assertEquals(StickyKeys.NO_BUILD, keys.oldestAllowedBuild("b"));
        assertEquals(StickyKeys.NO_BUILD, keys.oldestAllowedBuild("c"));
    }

    @Test
    void releaseUnbindsTheKeysOfItsBuildAndOfOlderOnes() {
        keys.served("a", 2);
        keys.served("b", 3);
        keys.attemptSent("c", 2);
        keys.attemptSent("c", 4);
        keys.buildReleased(3);
        assertEquals(StickyKeys.NO_BUILD, keys.oldestAllowedBuild("a"));
        assertEquals(StickyKeys.NO_BUILD, keys.oldestAllowedBuild("b"));
        assertEquals(4, keys.oldestAllowedBuild("c"));
    }

    @Test
    void isFullAtAFixedNumberOfKeys() {
        for (int i = 0; i < 199_999; i++) {
            keys.served("k" + i, 2);
        }
        assertFalse(keys.isFull());
        keys.served("one more", 2);
        assertTrue(keys.isFull());
    }
}
