package laurelkeel.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** The violations of one run, and counts of observed outcomes; thread-safe. */
final class ViolationLog {
    private static final int MAX_STORED = 20;

    private final RunClock clock;
    private final List<Violation> violations = new ArrayList<>();
    private final Map<String, AtomicLong> counts = new ConcurrentHashMap<>();

    ViolationLog(RunClock clock) {
        this.clock = clock;
    }

    /** Records a violation at the present time; all violations are counted, only the first ones are stored. */
    synchronized void add(SoakRule rule, String detail) {
        count("broken: " + rule);
        if (violations.size() < MAX_STORED) {
            violations.add(new Violation(clock.seconds(), rule, detail));
        }
    }

    /** Increments the count of an outcome. */
    void count(String label) {
        counts.computeIfAbsent(label, key -> new AtomicLong()).incrementAndGet();
    }

    synchronized List<Violation> violations() {
        return List.copyOf(violations);
    }

    /** Returns all counts by label, sorted by label. */
    Map<String, Long> counts() {
        Map<String, Long> sorted = new TreeMap<>();
        counts.forEach((label, count) -> sorted.put(label, count.get()));
        return sorted;
    }
}
