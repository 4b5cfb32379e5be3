package laurelkeel.bench;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** The requests of a generated event stream and their attempts. Not thread-safe. */
final class StreamRequests {
    /** An attempt that was sent. */
    record SentAttempt(String requestId, int number, String endpointId, long sentAtTicks) {}

    private final Map<String, Long> deadlinesByOpenRequest = new HashMap<>();
    private final Map<String, Integer> attemptsByRequest = new HashMap<>();
    private final Map<String, Map<Integer, SentAttempt>> inFlightByRequest = new HashMap<>();

    void received(String requestId, long deadlineTicks) {
        deadlinesByOpenRequest.put(requestId, deadlineTicks);
    }

    /** Ends a request and returns whether it was open. */
    boolean end(String requestId) {
        return deadlinesByOpenRequest.remove(requestId) != null;
    }

    boolean isOpen(String requestId) {
        return deadlinesByOpenRequest.containsKey(requestId);
    }

    /** Returns the deadline of an open request, or the given default if the request is not open. */
    long deadlineTicks(String requestId, long defaultTicks) {
        return deadlinesByOpenRequest.getOrDefault(requestId, defaultTicks);
    }

    /** Records an attempt, numbered by the order in which the request's attempts were sent. */
    SentAttempt sent(String requestId, String endpointId, long nowTicks) {
        int number = attemptsByRequest.merge(requestId, 1, Integer::sum) - 1;
        SentAttempt attempt = new SentAttempt(requestId, number, endpointId, nowTicks);
        inFlightByRequest.computeIfAbsent(requestId, key -> new HashMap<>()).put(number, attempt);
        return attempt;
    }

    /** Returns the attempt with the given number; null if it has ended or was never sent. */
    @Nullable
    SentAttempt inFlight(String requestId, int number) {
        return inFlightByRequest.getOrDefault(requestId, Map.of()).get(number);
    }

    /** Ends an attempt and returns whether it was in flight. */
    boolean attemptEnded(SentAttempt attempt) {
        Map<Integer, SentAttempt> inFlight = inFlightByRequest.get(attempt.requestId);
        return inFlight != null && inFlight.remove(attempt.number) != null;
    }
}
