package laurelkeel.logging;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Lets a few log lines of each kind through in a period, and counts the others. Thread-safe. */
final class SimilarLineLimiter {
    /** Enough to see that something happens again and again, and to whom. */
    static final int MAX_LINES_PER_KIND = 5;
    /** Kinds that are told apart in a period; the lines of further ones count as one kind. */
    static final int MAX_KINDS = 256;

    static final String FURTHER_KINDS = "of further kinds";

    /** How many lines of a kind were suppressed. */
    record Suppressed(String kind, int lines) {}

    private final Map<String, AtomicInteger> linesByKind = new ConcurrentHashMap<>();

    /** Counts a line; returns whether it may be written. */
    boolean tryAcquire(String kind) {
        return counter(kind).incrementAndGet() <= MAX_LINES_PER_KIND;
    }

    private AtomicInteger counter(String kind) {
        if (linesByKind.size() < MAX_KINDS) {
            return linesByKind.computeIfAbsent(kind, added -> new AtomicInteger());
        }
        AtomicInteger known = linesByKind.get(kind);
        return known != null ? known : linesByKind.computeIfAbsent(FURTHER_KINDS, added -> new AtomicInteger());
    }

    /** Ends the period, and returns what was suppressed in it. */
    List<Suppressed> endPeriod() {
        List<Suppressed> suppressed = new ArrayList<>();
        for (Iterator<Map.Entry<String, AtomicInteger>> kinds =
                        linesByKind.entrySet().iterator();
                kinds.hasNext(); ) {
            Map.Entry<String, AtomicInteger> kind = kinds.next();
            // read after the removal, so that no line counted until then is missed
            kinds.remove();
            int lines = kind.getValue().get() - MAX_LINES_PER_KIND;
            if (lines > 0) {
                suppressed.add(new Suppressed(kind.getKey(), lines));
            }
        }
        return suppressed;
    }
}
