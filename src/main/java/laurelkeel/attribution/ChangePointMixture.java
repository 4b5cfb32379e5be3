package laurelkeel.attribution;

import java.util.ArrayList;
import java.util.List;

/**
 * Sums that run from several starts at once, so that a build that turns bad late is not weighed down by its good
 * time. A start has its part of one whole, so that a mixture over starts is still an e-value.
 */
final class ChangePointMixture {
    static final int EVERY = 5;
    private static final int MOST = 24;

    private final double[] sums;
    private final List<double[]> marks = new ArrayList<>();
    private final List<Integer> number = new ArrayList<>();
    private int seconds, begun;

    ChangePointMixture(int width) {
        sums = new double[width];
    }

    /** One second more: what it adds to each sum. Call before the second's additions. */
    void next() {
        if (seconds++ % EVERY == 0) {
            marks.add(sums.clone());
            number.add(begun++);
            if (marks.size() > MOST) {
                // the first start keeps the whole; of the rest the oldest goes
                marks.remove(1);
                number.remove(1);
            }
        }
    }

    void add(int i, double by) {
        sums[i] += by;
    }

    int count() {
        return marks.size();
    }

    /** The sum of one place from one start. */
    double since(int start, int i) {
        return sums[i] - marks.get(start)[i];
    }

    /** The logarithm of a start's part: the parts of all that will ever begin sum to 1. */
    double logPart(int start) {
        int k = number.get(start);
        return -Math.log((k + 1.0) * (k + 2.0));
    }
}
