package laurelkeel.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class InFlightAttemptsTest {
    private final InFlightAttempts attempts = new InFlightAttempts();

    @Test
    void theLatestBuildIsThatOfAnAttemptStillInFlight() {
        attempts.onSent("k", 2);
        attempts.onSent("k", 3);
        attempts.onSent("k", 3);
        attempts.onEnded("k", 3);
        assertEquals(3, attempts.latestBuild("k", build -> true));
        attempts.onEnded("k", 3);
        assertEquals(2, attempts.latestBuild("k", build -> true));
        attempts.onEnded("k", 2);
        assertEquals(ConcurrentRollouts.NO_BUILD, attempts.latestBuild("k", build -> true));
    }

    @Test
    void buildsThatThePredicateRejectsAreSkipped() {
        attempts.onSent("k", 2);
        attempts.onSent("k", 3);
        assertEquals(2, attempts.latestBuild("k", build -> build < 3));
        assertEquals(ConcurrentRollouts.NO_BUILD, attempts.latestBuild("k", build -> false));
    }

    @Test
    void theEndOfAnUnknownAttemptIsIgnored() {
        attempts.onEnded("k", 3);
        attempts.onSent("k", 2);
        attempts.onEnded("k", 3);
        assertEquals(2, attempts.latestBuild("k", build -> true));
    }
}
