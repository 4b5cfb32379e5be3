package laurelkeel.platform;

import java.util.OptionalLong;
import laurelkeel.api.Ticks;

/** Reads and writes the times in the platform's headers, which are decimal seconds; thread-safe. */
final class DecimalSeconds {
    private static final long MILLIS_PER_SECOND = 1_000;
    /** What the binary form of a decimal number may lack. */
    private static final double ROUNDING_TICKS = 1e-6;

    private DecimalSeconds() {}

    /** Parses a time above 0 into whole ticks, rounded down; empty where the text is none. */
    static OptionalLong parseTicks(String text) {
        try {
            double seconds = Double.parseDouble(text);
            if (seconds > 0 && !Double.isInfinite(seconds)) {
                return OptionalLong.of((long) Math.floor(seconds * Ticks.PER_SECOND + ROUNDING_TICKS));
            }
        } catch (NumberFormatException ignored) {
            // it is no number
        }
        return OptionalLong.empty();
    }

    /** Formats a time from 0 with four decimals. */
    static String formatTicks(long ticks) {
        return format(ticks, Ticks.PER_SECOND);
    }

    /** Formats a time from 0 with three decimals, rounded up. */
    static String formatTicksAsMillis(long ticks) {
        long millis = (ticks + Ticks.PER_MILLISECOND - 1) / Ticks.PER_MILLISECOND;
        return format(millis, MILLIS_PER_SECOND);
    }

    /** @param unitsPerSecond a power of ten */
    private static String format(long units, long unitsPerSecond) {
        // the leading 1 keeps the fraction's zeros
        String fraction = Long.toString(unitsPerSecond + units % unitsPerSecond).substring(1);
        return units / unitsPerSecond + "." + fraction;
    }
}
