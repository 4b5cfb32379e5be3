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
    private static final int CHANGE_POINT_INTERVAL_SECONDS = 5;
    private static final int MAX_CHANGE_POINTS = 24;

    /** A change point and the sums as they were then. */
    private static final class ChangePoint {
        private final int number;
        private final double[] sums;

        ChangePoint(int number, double[] sums) {
            this.number = number;
            this.sums = sums;
        }
    }

    private final double[] sums;
    private final List<ChangePoint> changePoints = new ArrayList<>();
    private int seconds;
    private int changePointsBegun;

    /** @param sumCount how many sums run beside each other */
    ChangePointMixture(int sumCount) {
        sums = new double[sumCount];
    }

    /** Begins a second; called before what the second adds. */
    void beginSecond() {
        boolean beginsChangePoint = seconds % CHANGE_POINT_INTERVAL_SECONDS == 0;
        seconds++;
        if (!beginsChangePoint) {
            return;
        }
        changePoints.add(new ChangePoint(changePointsBegun, sums.clone()));
        changePointsBegun++;
        if (changePoints.size() > MAX_CHANGE_POINTS) {
            // the first one sees everything; of the others the oldest is dropped
            changePoints.remove(1);
        }
    }

    void add(int sum, double amount) {
        sums[sum] += amount;
    }

    int changePointCount() {
        return changePoints.size();
    }

    /** What a sum has grown by since a change point. */
    double sumSince(int changePoint, int sum) {
        return sums[sum] - changePoints.get(changePoint).sums[sum];
    }

    /** The logarithm of a change point's weight. */
    double logWeight(int changePoint) {
        int number = changePoints.get(changePoint).number;
        return -Math.log((number + 1.0) * (number + 2.0));
    }
}
