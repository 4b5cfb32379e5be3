package laurelkeel.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** The attempts that endpoints received, by request id; times are seconds of the run's clock. Thread-safe. */
final class AttemptRecorder {
    private final RunClock clock;
    private final ConcurrentMap<String, List<Double>> attempts = new ConcurrentHashMap<>();
    private final ConcurrentMap<String, Integer> completions = new ConcurrentHashMap<>();

    AttemptRecorder(RunClock clock) {
        this.clock = clock;
    }

    /** Records that the last byte of an attempt has arrived. */
    void attemptReceived(String requestId) {
        attempts.computeIfAbsent(requestId, key -> Collections.synchronizedList(new ArrayList<>()))
                .add(clock.seconds());
    }

    /** Records that an endpoint has served a request. */
    void served(String requestId) {
        completions.merge(requestId, 1, Integer::sum);
    }

    /** Returns the times at which attempts of a request arrived. */
    List<Double> attempts(String requestId) {
        return List.copyOf(attempts.getOrDefault(requestId, List.of()));
    }

    /** Returns how often a request was served. */
    int completions(String requestId) {
        return completions.getOrDefault(requestId, 0);
    }
}
