package laurelkeel.decision;

import java.util.HashMap;
import java.util.Map;
import laurelkeel.api.Event.RequestReceived;
import laurelkeel.api.Ticks;

/**
 * Detects requests that a client sends again after a rejection or a failure.
 *
 * <p>They count neither as load nor as outcomes of a build. Otherwise a retry storm would look like more traffic and
 * like a regression of the build.
 */
final class ClientRetryDetector {
    private static final long RETENTION_TICKS = 5 * Ticks.PER_SECOND;

    /** For each partition key, when one of its requests was last rejected or failed. */
    private final Map<String, Long> unsuccessfulAtTicksByKey = new HashMap<>();

    /** Records that a request with the given key was rejected or failed. */
    void requestRejectedOrFailed(String partitionKey, long nowTicks) {
        unsuccessfulAtTicksByKey.put(partitionKey, nowTicks);
    }

    /** Returns whether the client marks the request as a retry, or its key had a recent rejection or failure. */
    boolean isRetry(RequestReceived request) {
        String partitionKey = request.partitionKey();
        return request.clientRetry() || (partitionKey != null && unsuccessfulAtTicksByKey.containsKey(partitionKey));
    }

    /** Removes the keys whose last rejection or failure is older than the retention time. */
    void removeExpired(long nowTicks) {
        unsuccessfulAtTicksByKey.values().removeIf(atTicks -> atTicks < nowTicks - RETENTION_TICKS);
    }
}
