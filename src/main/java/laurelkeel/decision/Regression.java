package laurelkeel.decision;

/** Evidence that a candidate build is worse than its baseline. */
sealed interface Regression {
    /** Returns the finding as text for the log. */
    String describe();

    /**
     * The candidate fails more often.
     *
     * @param route index of the route, or {@link RouteOutcomes#ALL_ROUTES}
     */
    record HigherErrorRate(int route) implements Regression {
        @Override
        public String describe() {
            return "higher error rate on " + routeName(route);
        }
    }

    /**
     * Clients complain more often about the candidate's answers.
     *
     * @param route index of the route, or {@link RouteOutcomes#ALL_ROUTES}
     */
    record HigherComplaintRate(int route) implements Regression {
        @Override
        public String describe() {
            return "higher complaint rate on " + routeName(route);
        }
    }

    /**
     * The candidate answers more slowly. Latencies are multiples of the expected latency for a route and concurrency.
     *
     * @param ratio mean latency of the candidate
     * @param baselineRatio mean latency of the baseline, at least 1
     */
    record HigherLatency(double ratio, int answers, double baselineRatio, int baselineAnswers) implements Regression {
        @Override
        public String describe() {
            return "latency ratio " + ratio + " over " + answers + " answers, baseline " + baselineRatio + " over "
                    + baselineAnswers + " answers";
        }
    }

    /**
     * The endpoints of all builds have become slower since the candidate has had traffic.
     *
     * @param slowSeconds number of the last seconds in which they were slow
     * @param measuredSeconds number of the last seconds in which enough endpoints were measured
     * @param ratioBefore latency before the candidate had traffic, as a multiple of the expected latency
     */
    record AllEndpointsSlowdown(int slowSeconds, int measuredSeconds, double ratioBefore) implements Regression {
        @Override
        public String describe() {
            return "all endpoints slowed down in " + slowSeconds + " of " + measuredSeconds
                    + " s, latency ratio before " + ratioBefore;
        }
    }

    private static String routeName(int route) {
        return route == RouteOutcomes.ALL_ROUTES ? "all routes" : "route " + route;
    }
}
