package laurelkeel.soak;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The result of a run.
 *
 * @param plan the executed plan
 * @param violations the first violations of rules; empty if there were none
 * @param worstHostLatenessSeconds the highest delay with which the host scheduled a thread
 * @param countsByLabel counts of observed outcomes, by label
 */
public record SoakResult(
        SoakPlan plan, List<Violation> violations, double worstHostLatenessSeconds, Map<String, Long> countsByLabel) {
    private static final int MILLIS_PER_SECOND = 1_000;

    /** Formats the counts as one human-readable line. */
    public String counts() {
        StringBuilder line = new StringBuilder(String.format(
                Locale.ROOT, "host late by %.0f ms at most", worstHostLatenessSeconds * MILLIS_PER_SECOND));
        countsByLabel.forEach(
                (label, count) -> line.append(", ").append(label).append(' ').append(count));
        return line.toString();
    }
}
