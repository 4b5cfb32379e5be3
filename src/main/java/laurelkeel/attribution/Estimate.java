package laurelkeel.attribution;

/**
 * An estimated effect with the limits of its confidence interval.
 *
 * @param value a difference of shares, or a ratio of latencies or its logarithm
 * @param low lower confidence limit
 * @param high upper confidence limit
 */
record Estimate(double value, double low, double high) {
    /** The value for an effect that is not estimated. */
    static final Estimate NONE = new Estimate(0, 0, 0);
}
