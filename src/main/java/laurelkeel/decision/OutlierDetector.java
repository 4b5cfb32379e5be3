package laurelkeel.decision;

import java.util.List;

/**
 * Detects endpoints that answer with errors far more often than the others of their build.
 *
 * <p>An endpoint that fails fast looks idle and therefore attracts more requests than one that serves them. Also, the
 * errors of a single faulty endpoint must not be attributed to its build.
 */
final class OutlierDetector {
    private static final double MIN_ERROR_RATE = 0.25;
    private static final double MIN_RATIO_TO_MEDIAN = 2.5;

    private OutlierDetector() {}

    /**
     * Marks the outliers among the endpoints of one build.
     *
     * @param endpoints the health of each endpoint, at least one
     * @return whether there is an outlier
     */
    static boolean markErrorOutliers(List<EndpointHealth> endpoints) {
        double[] errorRates = endpoints.stream()
                .mapToDouble(EndpointHealth::errorRate)
                .sorted()
                .toArray();
        double median = errorRates[(errorRates.length - 1) / 2];
        boolean hasOutlier = false;
        for (EndpointHealth health : endpoints) {
            boolean isOutlier = endpoints.size() > 1
                    && health.errorRate() > MIN_ERROR_RATE
                    && health.errorRate() > MIN_RATIO_TO_MEDIAN * median;
            health.setErrorOutlier(isOutlier);
            hasOutlier |= isOutlier;
        }
        return hasOutlier;
    }
}
