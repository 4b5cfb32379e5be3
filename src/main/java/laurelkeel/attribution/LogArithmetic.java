package laurelkeel.attribution;

/** Sums of numbers held as logarithms. */
final class LogArithmetic {
    private LogArithmetic() {}

    static double sum(double[] logs, int n, double most) {
        if (most == Double.NEGATIVE_INFINITY) {
            return most;
        }
        double sum = 0;
        for (int i = 0; i < n; i++) {
            sum += Math.exp(logs[i] - most);
        }
        return most + Math.log(sum);
    }

    static double sum(double... logs) {
        double most = Double.NEGATIVE_INFINITY;
        for (double l : logs) {
            most = Math.max(most, l);
        }
        return sum(logs, logs.length, most);
    }
}
