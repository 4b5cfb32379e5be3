package laurelkeel.attribution;

/**
 * An estimated effect with the limits of its confidence interval.
 *
 * @param value a difference of shares, or a ratio of latencies
 */
record Estimate(double value, double low, double high) {
    /** Nothing is estimated. */
    static final Estimate NONE = new Estimate(0, 0, 0);
}
