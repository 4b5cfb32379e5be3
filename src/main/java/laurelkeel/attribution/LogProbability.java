package laurelkeel.attribution;

/** Arithmetic on numbers that are represented by their natural logarithms. */
final class LogProbability {
    private LogProbability() {}

    /** Returns the logarithm of the sum of the numbers; negative infinity if there are none. */
    static double logSumExp(double... logs) {
        double largest = Double.NEGATIVE_INFINITY;
        for (double log : logs) {
            largest = Math.max(largest, log);
        }
        if (largest == Double.NEGATIVE_INFINITY) {
            return largest;
        }
        double sum = 0;
        for (double log : logs) {
            sum += Math.exp(log - largest);
        }
        return largest + Math.log(sum);
    }
}
