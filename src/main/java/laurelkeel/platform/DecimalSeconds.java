package laurelkeel.platform;

import java.util.OptionalLong;
import laurelkeel.api.Ticks;
import laurelkeel.text.DecimalNumbers;

/** Parses and formats the durations in the platform's headers, which are in decimal seconds; thread-safe. */
final class DecimalSeconds {
    private static final long MILLIS_PER_SECOND = 1_000;
    /** Tolerance for the rounding error of a decimal number in binary floating point. */
    private static final double ROUNDING_TOLERANCE_TICKS = 1e-6;

    private DecimalSeconds() {}

    /** Parses a positive duration to whole ticks, rounded down; empty if the text is not a positive number. */
    static OptionalLong parseTicks(String text) {
        try {
            double seconds = DecimalNumbers.parse(text);
            if (seconds > 0) {
                return OptionalLong.of((long) Math.floor(seconds * Ticks.PER_SECOND + ROUNDING_TOLERANCE_TICKS));
            }
        } catch (NumberFormatException ignored) {
            // not a number
        }
        return OptionalLong.empty();
    }

    /** Formats a non-negative duration with four decimals. */
    static String formatTicks(long ticks) {
        return format(ticks, Ticks.PER_SECOND);
    }

    /** Formats a non-negative duration with three decimals, rounded up. */
    static String formatTicksAsMillis(long ticks) {
        long millis = (ticks + Ticks.PER_MILLISECOND - 1) / Ticks.PER_MILLISECOND;
        return format(millis, MILLIS_PER_SECOND);
    }

    /** @param unitsPerSecond a power of ten */
    private static String format(long units, long unitsPerSecond) {
        // the leading 1, which is cut off, preserves leading zeros of the fraction
        String fraction = Long.toString(unitsPerSecond + units % unitsPerSecond).substring(1);
        return units / unitsPerSecond + "." + fraction;
    }
}
