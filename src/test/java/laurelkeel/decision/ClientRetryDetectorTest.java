package laurelkeel.decision;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import laurelkeel.api.Event.RequestReceived;
import laurelkeel.api.Ticks;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class ClientRetryDetectorTest {
    private final ClientRetryDetector detector = new ClientRetryDetector();

    private static RequestReceived request(@Nullable String partitionKey, boolean clientRetry) {
        return new RequestReceived("r", 0, 0, partitionKey, Ticks.PER_SECOND, 0, clientRetry);
    }

    @Test
    void aRequestThatTheClientMarksIsARetry() {
        assertTrue(detector.isRetry(request(null, true)));
        assertFalse(detector.isRetry(request(null, false)));
    }

    @Test
    void requestsOfAKeyAreRetriesForFiveSecondsAfterAFailure() {
        detector.requestRejectedOrFailed("a", 0);
        detector.removeExpired(5 * Ticks.PER_SECOND);
        assertTrue(detector.isRetry(request("a", false)));
        assertFalse(detector.isRetry(request("b", false)));
        detector.removeExpired(5 * Ticks.PER_SECOND + 1);
        assertFalse(detector.isRetry(request("a", false)));
    }
}
