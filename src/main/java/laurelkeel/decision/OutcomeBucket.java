package laurelkeel.decision;

import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** What happened at one node in one second: outcomes by build and route, traffic, and how fast each endpoint was. */
final class OutcomeBucket {
    private static final int MIN_RATED_ENDPOINTS = 3;

    private final int routeCount;
    private final Map<Integer, @Nullable BuildOutcomes[]> outcomesByBuild = new TreeMap<>();
    private final Map<String, RatioMean> ratiosByEndpoint = new TreeMap<>();
    private int requestsReceived;
    private int attemptsSent;
    private int attemptsSentToJudgedBuild;

    OutcomeBucket(int routeCount) {
        this.routeCount = routeCount;
    }

    /** Returns the outcomes of a build on one route, to be added to. */
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

    /** Whether there are any outcomes of a build. */
    boolean hasSeen(int build) {
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

    void attemptSent(boolean isJudgedBuild) {
        attemptsSent++;
        attemptsSentToJudgedBuild += isJudgedBuild ? 1 : 0;
    }

    /** Adds an answer of an endpoint by its latency as a multiple of the usual one. */
    void addLatencyRatio(String endpointId, double ratio) {
        ratiosByEndpoint.computeIfAbsent(endpointId, key -> new RatioMean()).add(ratio);
    }

    /** Returns the requests that clients sent for the first time. */
    int requestsReceived() {
        return requestsReceived;
    }

    int attemptsSent() {
        return attemptsSent;
    }

    /** Returns the attempts sent to the build that was under judgement. */
    int attemptsSentToJudgedBuild() {
        return attemptsSentToJudgedBuild;
    }

    /**
     * Returns the mean latency ratio that two thirds of the endpoints exceed, or 0 where too few are known. Were it the
     * median, a fleet half of which is slow would pass for a slow one.
     */
    double fleetLatencyRatio() {
        double[] means = ratiosByEndpoint.values().stream()
                .mapToDouble(RatioMean::mean)
                .sorted()
                .toArray();
        return means.length < MIN_RATED_ENDPOINTS ? 0 : means[means.length / 3];
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
