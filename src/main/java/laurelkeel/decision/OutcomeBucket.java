package laurelkeel.decision;

import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** Outcomes by build and route, traffic, and latency by endpoint, within one second. */
final class OutcomeBucket {
    private static final int MIN_MEASURED_ENDPOINTS = 3;

    private final int routeCount;
    private final Map<Integer, @Nullable BuildOutcomes[]> outcomesByBuild = new TreeMap<>();
    private final Map<String, RatioMean> ratiosByEndpoint = new TreeMap<>();
    private int requestsReceived;
    private int attemptsSent;
    private int attemptsSentToEvaluatedBuild;

    OutcomeBucket(int routeCount) {
        this.routeCount = routeCount;
    }

    /** Returns the outcomes of a build on one route, for the caller to add to; creates them if needed. */
    BuildOutcomes outcomes(int build, int route) {
        @Nullable
        BuildOutcomes[] byRoute = outcomesByBuild.computeIfAbsent(build, key -> new BuildOutcomes[routeCount]);
        BuildOutcomes outcomes = byRoute[route];
        if (outcomes == null) {
            outcomes = new BuildOutcomes();
            byRoute[route] = outcomes;
        }
        return outcomes;
    }

    /** Returns whether there are any outcomes of a build. */
    boolean hasOutcomesOf(int build) {
        return outcomesByBuild.containsKey(build);
    }

    /** Adds the outcomes of a build to totals. */
    void addTo(RouteOutcomes totals, int build) {
        @Nullable BuildOutcomes[] byRoute = outcomesByBuild.get(build);
        if (byRoute == null) {
            return;
        }
        for (int route = 0; route < byRoute.length; route++) {
            BuildOutcomes outcomes = byRoute[route];
            if (outcomes != null) {
                totals.add(route, outcomes);
            }
        }
    }

    void requestReceived() {
        requestsReceived++;
    }

    void attemptSent(boolean isEvaluatedBuild) {
        attemptsSent++;
        attemptsSentToEvaluatedBuild += isEvaluatedBuild ? 1 : 0;
    }

    /** Adds the latency of an endpoint's answer as a multiple of the expected latency. */
    void addLatencyRatio(String endpointId, double ratio) {
        ratiosByEndpoint.computeIfAbsent(endpointId, key -> new RatioMean()).add(ratio);
    }

    /** Returns the number of requests that clients sent for the first time. */
    int requestsReceived() {
        return requestsReceived;
    }

    int attemptsSent() {
        return attemptsSent;
    }

    /** Returns the number of attempts sent to the build that was then under evaluation. */
    int attemptsSentToEvaluatedBuild() {
        return attemptsSentToEvaluatedBuild;
    }

    /**
     * Returns the lower tertile of the endpoints' mean latency ratios, which about two thirds of the endpoints exceed; 0 if
     * too few endpoints are known. With the median, all endpoints would seem slow when half of them are.
     */
    double lowerTertileLatencyRatio() {
        double[] means = ratiosByEndpoint.values().stream()
                .mapToDouble(RatioMean::mean)
                .sorted()
                .toArray();
        return means.length < MIN_MEASURED_ENDPOINTS ? 0 : means[means.length / 3];
    }

    private static final class RatioMean {
        private double sum;
        private int count;

        void add(double ratio) {
            sum += ratio;
            count++;
        }

        double mean() {
            return sum / count;
        }
    }
}
