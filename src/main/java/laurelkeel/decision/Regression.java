package laurelkeel.decision;

/** Evidence against a build beside its baseline. */
sealed interface Regression {
    /** Returns the finding in words for the log. */
    String describe();

    /**
     * It fails more often.
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
     * Clients complain more often of its answers.
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
     * It answers more slowly. Latencies are multiples of what is usual for a route and concurrency.
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
     * All endpoints have become slower since it has traffic.
     *
     * @param slowSeconds of the last seconds, in how many they were slow
     * @param ratedSeconds of the last seconds, in how many that could be told
     * @param ratioBefore latency before it had traffic, as a multiple of the usual one
     */
    record FleetSlowdown(int slowSeconds, int ratedSeconds, double ratioBefore) implements Regression {
        @Override
        public String describe() {
            return "all endpoints slowed down in " + slowSeconds + " of " + ratedSeconds + " s, latency ratio before "
                    + ratioBefore;
        }
    }

    private static String routeName(int route) {
        return route == RouteOutcomes.ALL_ROUTES ? "all routes" : "route " + route;
    }
}
