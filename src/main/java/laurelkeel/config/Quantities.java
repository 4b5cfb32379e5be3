package laurelkeel.config;

import java.util.Map;
import laurelkeel.text.DecimalNumbers;

/** Parses numbers with a unit, for example 2.5 s or 64 KiB. */
final class Quantities {
    private static final Map<String, Long> TICKS_BY_UNIT =
            Map.of("ms", 10L, "s", 10_000L, "min", 600_000L, "h", 36_000_000L);
    private static final Map<String, Long> BYTES_BY_UNIT =
            Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);

    /** Prevents a decimal fraction that equals a whole number of ticks or bytes from being rounded down below it. */
    private static final double ROUNDING_ERROR = 1e-6;

    private Quantities() {}

    /**
     * Parses a duration in ms, s, min or h.
     *
     * @return ticks of a tenth of a millisecond, rounded down
     * @throws NumberFormatException if the number or the unit is missing or invalid
     */
    static long parseTicks(String text) {
        return parse(text, TICKS_BY_UNIT);
    }

    /**
     * Parses a size in B, KiB, MiB or GiB.
     *
     * @return bytes, rounded down
     * @throws NumberFormatException if the number or the unit is missing or invalid
     */
    static long parseBytes(String text) {
        return parse(text, BYTES_BY_UNIT);
    }

    private static long parse(String text, Map<String, Long> units) {
        int numberEnd = 0;
        while (numberEnd < text.length() && isPartOfNumber(text.charAt(numberEnd))) {
            numberEnd++;
        }
        Long unit = units.get(text.substring(numberEnd).strip());
        if (unit == null || numberEnd == 0) {
            throw new NumberFormatException(text);
        }
        return (long) Math.floor(DecimalNumbers.parse(text.substring(0, numberEnd)) * unit + ROUNDING_ERROR);
    }

    private static boolean isPartOfNumber(char character) {
        return Character.isDigit(character) || character == '.';
    }
}
