package laurelkeel.attribution;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Least squares of a series of levels on one regressor at a time, beside a constant and the load.
 *
 * <p>Levels and regressors are made orthogonal to constant and load (the Frisch-Waugh-Lovell theorem), which leaves a
 * regression on a single variable.
 */
final class LeastSquaresFit {
    private static final double MIN_LOAD_NORM = 1e-6;
    /** A regressor whose remaining square is less is explained by constant and load. */
    private static final double MIN_SQUARED_NORM = 1e-12;

    /** Constant, load and regressor take a degree of freedom each. */
    private static final int PARAMETERS = 3;

    private final double[] levels;
    private final List<double[]> orthonormalBasis = new ArrayList<>();
    private final double totalSquares;
    private final double minResidual;

    /**
     * Prepares fits to one series.
     *
     * @param load of each second
     * @param minSpread the least standard deviation that chance leaves, added to every residual
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

    /** The slope on a regressor; 0 where constant and load explain the regressor. */
    double slope(double[] regressor) {
        double[] remaining = orthogonalize(regressor);
        double squaredNorm = dot(remaining, remaining);
        return squaredNorm < MIN_SQUARED_NORM ? 0 : dot(remaining, levels) / squaredNorm;
    }

    /** The sum of squares that constant and load leave unexplained. */
    double residual() {
        return totalSquares + minResidual;
    }

    /** The sum of squares that constant, load and a regressor leave unexplained. */
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
     * The standard error of the slope on a regressor.
     *
     * @param correlatedLevels so many levels in a row count as one
     * @return infinite where constant and load explain the regressor
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
