package laurelkeel.attribution;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class LeastSquaresFitTest {
    private static final double[] LOAD = {-1, 1, 0, 0.5, -0.5, 0, 1, -1};
    private static final double[] STEP = {0, 0, 0, 0, 1, 1, 1, 1};

    private static LeastSquaresFit fit(double constant, double perLoad, double perStep, double minSpread) {
        double[] levels = new double[LOAD.length];
        for (int i = 0; i < levels.length; i++) {
            levels[i] = constant + perLoad * LOAD[i] + perStep * STEP[i];
        }
        return new LeastSquaresFit(levels, LOAD, minSpread);
    }

    @Test
    void theSlopeIsSeparatedFromConstantAndLoad() {
        LeastSquaresFit fit = fit(7, 0.5, 2, 0);
        assertEquals(2, fit.slope(STEP), 1e-9);
        assertEquals(0, fit.residual(STEP), 1e-9);
    }

    @Test
    void aRegressorThatConstantAndLoadExplainHasNoSlope() {
        LeastSquaresFit fit = fit(7, 0.5, 2, 0);
        assertEquals(0, fit.slope(LOAD));
        assertEquals(fit.residual(), fit.residual(LOAD));
        assertEquals(Double.POSITIVE_INFINITY, fit.slopeError(LOAD, 1));
    }

    @Test
    void residualsIncludeTheMinimumSpread() {
        LeastSquaresFit fit = fit(0, 0, 1, 0.1);
        assertEquals(8 * 0.01, fit.residual(STEP), 1e-9);
    }
}
