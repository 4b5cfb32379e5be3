package laurelkeel.options;

import laurelkeel.api.Ticks;

/** Parses and converts numbers as the platform writes them; thread-safe. */
public final class Numbers {
    /** What the binary form of a decimal number may lack. */
    private static final double ROUNDING_TICKS = 1e-6;

    private Numbers() {}

    /**
     * Parses a finite number.
     *
     * @throws NumberFormatException where the text is none
     */
    public static double parseFinite(String text) {
        double value = Double.parseDouble(text);
        if (Double.isNaN(value) || Double.isInfinite(value)) {
            throw new NumberFormatException(text);
        }
        return value;
    }

    /** Milliseconds as ticks, rounded down: a moment or a limit must never seem later than it is. */
    public static long millisToTicks(double millis) {
        return (long) Math.floor(millis * Ticks.PER_MILLISECOND + ROUNDING_TICKS);
    }
}
