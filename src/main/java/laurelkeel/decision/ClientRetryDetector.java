package laurelkeel.decision;

import java.util.HashMap;
import java.util.Map;
import laurelkeel.api.Event.RequestReceived;
import laurelkeel.api.Ticks;

/**
 * Recognizes requests that a client sends again after a rejection or a failure.
 *
 * <p>They count neither as load nor as outcomes of a build, or a storm of retries would look like more traffic and a
 * worse build.
 */
final class ClientRetryDetector {
    private static final long MEMORY_TICKS = 5 * Ticks.PER_SECOND;

    /** When a request of the key was last rejected or failed, in ticks. */
    private final Map<String, Long> unservedAtTicks = new HashMap<>();

    /** Records that a request of a key was rejected or failed. */
    void requestUnserved(String partitionKey, long nowTicks) {
        unservedAtTicks.put(partitionKey, nowTicks);
    }

    /** Whether the client says so, or another request of its key went unserved a short while ago. */
    boolean isRetry(RequestReceived request) {
        String partitionKey = request.partitionKey();
        return request.clientRetry() || (partitionKey != null && unservedAtTicks.containsKey(partitionKey));
    }

    /** Forgets the requests that went unserved too long ago. */
    void forgetOld(long nowTicks) {
        unservedAtTicks.values().removeIf(atTicks -> atTicks < nowTicks - MEMORY_TICKS);
    }
}
