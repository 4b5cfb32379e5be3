package laurelkeel.options;

import laurelkeel.api.Ticks;

/** Converts numbers in the form that the platform writes. Thread-safe. */
public final class Numbers {
    /** Tolerance for a decimal number whose binary representation is slightly too small. */
    private static final double ROUNDING_ERROR_TICKS = 1e-6;

    private Numbers() {}

    /** Converts milliseconds to ticks, rounded down: a moment or a limit must never appear later than it is. */
    public static long millisToTicks(double millis) {
        return (long) Math.floor(millis * Ticks.PER_MILLISECOND + ROUNDING_ERROR_TICKS);
    }
}
