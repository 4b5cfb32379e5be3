package laurelkeel.attribution;

import java.util.ArrayList;
import java.util.List;

/**
 * Running sums of log-likelihood ratios over several possible change points at once, so that a build that turns bad late
 * is not saved by its past.
 *
 * <p>A change point begins every few seconds. Each has a fixed weight, and the weights of all that will ever begin sum
 * to 1: the weighted mean of e-values over the change points is an e-value again. Not thread-safe.
 */
final class ChangePointMixture {
    private static final int START_INTERVAL_SECONDS = 5;
    private static final int MAX_STARTS = 24;

    /** A change point and the sums as they were then. */
    private static final class Start {
        private final int number;
        private final double[] sums;

        Start(int number, double[] sums) {
            this.number = number;
            this.sums = sums;
        }
    }

    private final double[] sums;
    private final List<Start> starts = new ArrayList<>();
    private int seconds;
    private int startsBegun;

    /** @param sumCount how many sums run beside each other */
    ChangePointMixture(int sumCount) {
        sums = new double[sumCount];
    }

    /** Begins a second; called before what the second adds. */
    void beginSecond() {
        boolean beginsStart = seconds % START_INTERVAL_SECONDS == 0;
        seconds++;
        if (!beginsStart) {
            return;
        }
        starts.add(new Start(startsBegun, sums.clone()));
        startsBegun++;
        if (starts.size() > MAX_STARTS) {
            // the first one sees everything; of the others the oldest is dropped
            starts.remove(1);
        }
    }

    void add(int sum, double amount) {
        sums[sum] += amount;
    }

    int startCount() {
        return starts.size();
    }

    /** What a sum has grown by since a change point. */
    double sumSince(int start, int sum) {
        return sums[sum] - starts.get(start).sums[sum];
    }

    /** The logarithm of a change point's weight. */
    double logWeight(int start) {
        int number = starts.get(start).number;
        return -Math.log((number + 1.0) * (number + 2.0));
    }
}
