package laurelkeel.text;

/**
 * Parses numbers in decimal notation. Unlike the parsers of the JDK, it accepts none of the further notations of Java's own
 * literals, such as {@code 1.5d}, {@code 0x1p1}, {@code NaN} or {@code +4}, nor other digits than 0 to 9, so that a peer's
 * mistake is not served as a number. Thread-safe.
 */
public final class DecimalNumbers {
    private static final String WHOLE_CHARACTERS = "0123456789-";
    private static final String DECIMAL_CHARACTERS = WHOLE_CHARACTERS + ".eE+";

    private DecimalNumbers() {}

    /**
     * Parses a decimal number, with a fraction and an exponent if it has any.
     *
     * @throws NumberFormatException if the text is no decimal number, or too large to be finite
     */
    public static double parse(String text) {
        requireOnly(DECIMAL_CHARACTERS, text);
        double value = Double.parseDouble(text);
        if (Double.isInfinite(value)) {
            throw new NumberFormatException(text);
        }
        return value;
    }

    /**
     * Parses a whole number.
     *
     * @throws NumberFormatException if the text is no whole number, or out of the range of a long
     */
    public static long parseLong(String text) {
        requireOnly(WHOLE_CHARACTERS, text);
        return Long.parseLong(text);
    }

    /**
     * Parses a whole number.
     *
     * @throws NumberFormatException if the text is no whole number, or out of the range of an int
     */
    public static int parseInt(String text) {
        requireOnly(WHOLE_CHARACTERS, text);
        return Integer.parseInt(text);
    }

    /** Refuses all that the JDK's parsers accept beyond the decimal notation. */
    private static void requireOnly(String characters, String text) {
        boolean isDecimal = !text.startsWith("+");
        for (int i = 0; i < text.length(); i++) {
            isDecimal &= characters.indexOf(text.charAt(i)) >= 0;
        }
        if (!isDecimal) {
            throw new NumberFormatException(text);
        }
    }
}
