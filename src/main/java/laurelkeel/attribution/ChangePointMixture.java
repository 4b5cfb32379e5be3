package laurelkeel.attribution;

import java.util.ArrayList;
import java.util.List;

/**
 * Running sums, such as log-likelihood ratios, since each of several possible change points, so that a build's good
 * past does not hide that it became worse later.
 *
 * <p>A new change point begins every few seconds. Each has a fixed weight, and the weights of all that can ever begin
 * sum to 1. The weighted mean of e-values over the change points is therefore an e-value too. Not thread-safe.
 */
final class ChangePointMixture {
    private static final int CHANGE_POINT_INTERVAL_SECONDS = 5;
    private static final int MAX_CHANGE_POINTS = 24;

    /** A change point with the values of the sums at that time. */
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

    /** @param sumCount number of independent sums */
    ChangePointMixture(int sumCount) {
        sums = new double[sumCount];
    }

    /** Begins a second; must be called before the amounts of that second are added. */
    void beginSecond() {
        boolean beginsChangePoint = seconds % CHANGE_POINT_INTERVAL_SECONDS == 0;
        seconds++;
        if (!beginsChangePoint) {
            return;
        }
        changePoints.add(new ChangePoint(changePointsBegun, sums.clone()));
        changePointsBegun++;
        if (changePoints.size() > MAX_CHANGE_POINTS) {
            // the first change point covers the whole rollout and stays; the oldest of the others is dropped
            changePoints.remove(1);
        }
    }

    void add(int sum, double amount) {
        sums[sum] += amount;
    }

    int changePointCount() {
        return changePoints.size();
    }

    /** Returns the amount that a sum has grown by since a change point. */
    double sumSince(int changePoint, int sum) {
        return sums[sum] - changePoints.get(changePoint).sums[sum];
    }

    /** Returns the natural logarithm of a change point's weight. */
    double logWeight(int changePoint) {
        int number = changePoints.get(changePoint).number;
        return -Math.log((number + 1.0) * (number + 2.0));
    }
}
