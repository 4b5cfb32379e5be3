package laurelkeel.soak;

import java.util.Locale;

/**
 * One break of a rule.
 *
 * @param atSeconds since the run began
 * @param detail for people
 */
public record Violation(double atSeconds, SoakRule rule, String detail) {
    /** One line for people. */
    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%.3f s %s: %s", atSeconds, rule, detail);
    }
}
