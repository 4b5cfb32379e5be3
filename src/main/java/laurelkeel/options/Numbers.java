package laurelkeel.options;

/** How the bench writes numbers. */
public final class Numbers {
    private Numbers() {}

    public static double parseFinite(String s) {
        double d = Double.parseDouble(s);
        if (Double.isNaN(d) || Double.isInfinite(d)) {
            throw new NumberFormatException(s);
        }
        return d;
    }

    /** Milliseconds as tenths, rounded down: a moment or a limit must never seem later than it is. */
    public static long millisToTicks(double ms) {
        return (long) Math.floor(ms * 10 + 1e-6);
    }
}
