package laurelkeel.attribution;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A least-squares fit of a series of levels to one regressor at a time, in addition to a constant and the load.
 *
 * <p>The levels and the regressor are first made orthogonal to the constant and the load, which reduces the fit to a
 * regression on a single variable (Frisch-Waugh-Lovell theorem). Immutable.
 */
final class LeastSquaresFit {
    private static final double MIN_LOAD_NORM = 1e-6;
    /** A regressor whose orthogonal component has a lower squared norm is explained by the constant and the load. */
    private static final double MIN_SQUARED_NORM = 1e-12;

    /** The constant, the load and the regressor each use one degree of freedom. */
    private static final int PARAMETERS = 3;

    private final double[] levels;
    private final List<double[]> orthonormalBasis = new ArrayList<>();
    private final double totalSquares;
    private final double minResidual;

    /**
     * Prepares fits to one series of levels.
     *
     * @param levels the level of each second
     * @param load the load of each second
     * @param minSpread the lowest standard deviation that random variation alone causes; its square is added to every
     *     residual sum of squares, once for each second
     */
    LeastSquaresFit(double[] levels, double[] load, double minSpread) {
        int count = levels.length;
        double[] constant = new double[count];
        Arrays.fill(constant, 1 / Math.sqrt(count));
        orthonormalBasis.add(constant);
        double[] remainingLoad = withoutComponent(load, constant);
        double norm = Math.sqrt(dot(remainingLoad, remainingLoad));
        if (norm > MIN_LOAD_NORM) {
            for (int i = 0; i < count; i++) {
                remainingLoad[i] /= norm;
            }
            orthonormalBasis.add(remainingLoad);
        }
        this.levels = orthogonalize(levels);
        totalSquares = dot(this.levels, this.levels);
        minResidual = count * minSpread * minSpread;
    }

    private static double dot(double[] a, double[] b) {
        double sum = 0;
        for (int i = 0; i < a.length; i++) {
            sum += a[i] * b[i];
        }
        return sum;
    }

    private static double[] withoutComponent(double[] vector, double[] unit) {
        double component = dot(vector, unit);
        double[] remaining = vector.clone();
        for (int i = 0; i < remaining.length; i++) {
            remaining[i] -= component * unit[i];
        }
        return remaining;
    }

    private double[] orthogonalize(double[] vector) {
        double[] remaining = vector;
        for (double[] unit : orthonormalBasis) {
            remaining = withoutComponent(remaining, unit);
        }
        return remaining;
    }

    /** Returns the slope on a regressor; 0 if the constant and the load explain the regressor. */
    double slope(double[] regressor) {
        double[] remaining = orthogonalize(regressor);
        double squaredNorm = dot(remaining, remaining);
        return squaredNorm < MIN_SQUARED_NORM ? 0 : dot(remaining, levels) / squaredNorm;
    }

    /** Returns the sum of squares that the constant and the load leave unexplained. */
    double residual() {
        return totalSquares + minResidual;
    }

    /** Returns the sum of squares that the constant, the load and a regressor leave unexplained. */
    double residual(double[] regressor) {
        double[] remaining = orthogonalize(regressor);
        double squaredNorm = dot(remaining, remaining);
        if (squaredNorm < MIN_SQUARED_NORM) {
            return residual();
        }
        double dotProduct = dot(remaining, levels);
        return Math.max(0, totalSquares - dotProduct * dotProduct / squaredNorm) + minResidual;
    }

    /**
     * Returns the standard error of the slope on a regressor.
     *
     * @param correlatedLevels number of consecutive levels that count as one independent sample
     * @return positive infinity if the constant and the load explain the regressor
     */
    double slopeError(double[] regressor, double correlatedLevels) {
        double[] remaining = orthogonalize(regressor);
        double squaredNorm = dot(remaining, remaining);
        if (squaredNorm < MIN_SQUARED_NORM) {
            return Double.POSITIVE_INFINITY;
        }
        int degreesOfFreedom = Math.max(1, levels.length - PARAMETERS);
        return Math.sqrt(correlatedLevels * residual(regressor) / degreesOfFreedom / squaredNorm);
    }
}
