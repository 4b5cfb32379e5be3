package laurelkeel.decision;

import java.util.List;

/**
 * Finds endpoints that answer with errors far more often than the others of their build.
 *
 * <p>Quick errors make an endpoint look idle and draw more requests to it than its answers would. And a single faulty
 * endpoint is no fault of its build.
 */
final class OutlierDetector {
    private static final double MIN_ERROR_RATE = 0.25;
    private static final double MIN_RATIO_TO_MEDIAN = 2.5;

    private OutlierDetector() {}

    /**
     * Marks the outliers among the endpoints of one build.
     *
     * @param endpoints the health of at least one endpoint
     * @return whether there is any
     */
    static boolean markErrorOutliers(List<EndpointHealth> endpoints) {
        double[] errorRates = endpoints.stream()
                .mapToDouble(EndpointHealth::errorRate)
                .sorted()
                .toArray();
        double median = errorRates[(errorRates.length - 1) / 2];
        boolean isAnyOutlier = false;
        for (EndpointHealth health : endpoints) {
            boolean isOutlier = endpoints.size() > 1
                    && health.errorRate() > MIN_ERROR_RATE
                    && health.errorRate() > MIN_RATIO_TO_MEDIAN * median;
            health.setErrorOutlier(isOutlier);
            isAnyOutlier |= isOutlier;
        }
        return isAnyOutlier;
    }
}
