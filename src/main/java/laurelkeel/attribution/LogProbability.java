package laurelkeel.attribution;

/** Arithmetic on numbers that are kept as their natural logarithms. */
final class LogProbability {
    private LogProbability() {}

    /** The logarithm of the sum of numbers; negative infinity where there are none. */
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
