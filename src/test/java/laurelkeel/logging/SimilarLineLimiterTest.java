package laurelkeel.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class SimilarLineLimiterTest {
    private final SimilarLineLimiter limiter = new SimilarLineLimiter();

    @Test
    void aFewLinesOfEachKindPassInAPeriodAndTheOthersAreCounted() {
        for (int i = 0; i < SimilarLineLimiter.MAX_LINES_PER_KIND; i++) {
            assertTrue(limiter.tryAcquire("a"));
        }
        assertFalse(limiter.tryAcquire("a"));
        assertFalse(limiter.tryAcquire("a"));
        assertTrue(limiter.tryAcquire("b"));
        assertEquals(List.of(new SimilarLineLimiter.Suppressed("a", 2)), limiter.endPeriod());
        assertTrue(limiter.tryAcquire("a"), "in the next period");
        assertEquals(List.of(), limiter.endPeriod());
    }

    @Test
    void kindsBeyondTheMaximumCountAsOne() {
        for (int i = 0; i < SimilarLineLimiter.MAX_KINDS; i++) {
            assertTrue(limiter.tryAcquire("kind " + i));
        }
        for (int i = 0; i < SimilarLineLimiter.MAX_LINES_PER_KIND; i++) {
            assertTrue(limiter.tryAcquire("other " + i));
        }
        assertFalse(limiter.tryAcquire("one more"));
        assertTrue(limiter.tryAcquire("kind 0"), "a known kind has its own count");
        assertEquals(
                List.of(new SimilarLineLimiter.Suppressed(SimilarLineLimiter.OTHER_KINDS, 1)), limiter.endPeriod());
    }
}
