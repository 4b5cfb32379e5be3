package laurelkeel.soak;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What a run found.
 *
 * @param plan what happened in it
 * @param violations the first breaks of rules; empty where all were kept
 * @param worstHostLatenessSeconds the latest that the host let a thread run
 * @param seen counts of what was seen, by label
 */
public record SoakResult(
        SoakPlan plan, List<Violation> violations, double worstHostLatenessSeconds, Map<String, Long> seen) {
    private static final int MILLIS_PER_SECOND = 1_000;

    /** What was seen, as one line for people. */
    public String counts() {
        StringBuilder line = new StringBuilder(String.format(
                Locale.ROOT, "host late by %.0f ms at most", worstHostLatenessSeconds * MILLIS_PER_SECOND));
        seen.forEach(
                (label, count) -> line.append(", ").append(label).append(' ').append(count));
        return line.toString();
    }
}
