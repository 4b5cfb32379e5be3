package laurelkeel.soak;

import java.util.Locale;

/**
 * One violation of a rule.
 *
 * @param atSeconds when it was detected, in seconds since the start of the run
 * @param detail human-readable description
 */
public record Violation(double atSeconds, SoakRule rule, String detail) {
    /** Formats the violation as one human-readable line. */
    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%.3f s %s: %s", atSeconds, rule, detail);
    }
}
