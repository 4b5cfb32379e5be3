package laurelkeel.logging;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Limits the number of log lines of each kind in a period, and counts the suppressed ones. Thread-safe. */
final class SimilarLineLimiter {
    /** Enough to see that an event recurs, and what it affects. */
    static final int MAX_LINES_PER_KIND = 5;
    /** Maximum kinds that are counted separately in a period; lines of all others are counted as one kind. */
    static final int MAX_KINDS = 256;

    static final String OTHER_KINDS = "other";

    /** The number of lines of a kind that were suppressed in a period. */
    record Suppressed(String kind, int lines) {}

    private final Map<String, AtomicInteger> linesByKind = new ConcurrentHashMap<>();

    /** Counts a line of the given kind; returns whether it may be written. */
    boolean tryAcquire(String kind) {
        return counter(kind).incrementAndGet() <= MAX_LINES_PER_KIND;
    }

    private AtomicInteger counter(String kind) {
        if (linesByKind.size() < MAX_KINDS) {
            return linesByKind.computeIfAbsent(kind, added -> new AtomicInteger());
        }
        AtomicInteger known = linesByKind.get(kind);
        return known != null ? known : linesByKind.computeIfAbsent(OTHER_KINDS, added -> new AtomicInteger());
    }

    /** Ends the period and returns the lines that were suppressed in it, by kind. */
    List<Suppressed> endPeriod() {
        List<Suppressed> suppressed = new ArrayList<>();
        for (Iterator<Map.Entry<String, AtomicInteger>> kinds =
                        linesByKind.entrySet().iterator();
                kinds.hasNext(); ) {
            Map.Entry<String, AtomicInteger> kind = kinds.next();
            // read the count after the removal, so that lines counted up to then are included
            kinds.remove();
            int lines = kind.getValue().get() - MAX_LINES_PER_KIND;
            if (lines > 0) {
                suppressed.add(new Suppressed(kind.getKey(), lines));
            }
        }
        return suppressed;
    }
}
