package laurelkeel.decision;

import java.util.List;
import laurelkeel.api.Settings;
import laurelkeel.api.Settings.Route;

/**
 * Sheds requests whose answers would be too late, and requests of low-value routes before those of high-value routes.
 *
 * <p>A request is admitted while the expected wait at its endpoint leaves its route, and all routes of similar or
 * higher value, enough time to meet their latency objectives.
 */
final class AdmissionController {
    /**
     * Multiple of the unloaded latency that is reserved for processing; the rest of the objective is slack for waiting.
     */
    private static final double RESERVED_UNLOADED_LATENCIES = 1.5;

    /**
     * Attempts in flight that a route may always have: a node that sheds everything could not observe the end of an
     * overload.
     */
    private static final int ALWAYS_ADMITTED_IN_FLIGHT = 2;

    private static final double MIN_SIMILAR_VALUE_RATIO = 0.8;
    private static final double MIN_HIGHER_VALUE_RATIO = 1.25;
    /** A route is shed if the wait exceeds this share of the slack of a route of higher value. */
    private static final double LOWER_VALUE_SLACK_SHARE = 0.7;

    /** Share of the smallest slack above which attempts count as queueing. */
    private static final double QUEUEING_SLACK_SHARE = 0.1;

    private final List<Route> routes;
    private final boolean isValueProportionalToWork;
    private final LatencyModel latency;

    AdmissionController(Settings settings, LatencyModel latency) {
        this.routes = settings.routes();
        this.isValueProportionalToWork = settings.valueByWork();
        this.latency = latency;
    }

    /** Returns whether a request may be sent to an endpoint now; otherwise it must be shed. */
    boolean admits(ActiveRequest request, Endpoint endpoint, long nowTicks) {
        RouteLatency routeLatency = latency.route(request.routeIndex());
        if (routeLatency.inFlight() < ALWAYS_ADMITTED_IN_FLIGHT) {
            return true;
        }
        // a route whose answers are late on average only consumes capacity, regardless of the cause
        boolean isTooLate = routeLatency.recentMeanTicks() > request.route().latencyObjectiveTicks()
                || latency.expectedWaitTicks(endpoint, nowTicks) > maxWaitTicks(request.routeIndex());
        return !isTooLate;
    }

    /**
     * Returns whether to give up an attempt that is about to miss its objective. Queues that serve only late answers
     * would otherwise never drain.
     */
    boolean shouldAbandon(ActiveRequest request, Attempt attempt, long nowTicks) {
        return latency.expectedWaitTicks(attempt.endpoint(), nowTicks) > slackTicks(request.routeIndex()) / 2;
    }

    /** Returns whether the mean wait is a considerable share of the smallest slack of all routes. */
    boolean areAttemptsQueueing() {
        double leastSlackTicks = Double.MAX_VALUE;
        for (int route = 0; route < routes.size(); route++) {
            leastSlackTicks = Math.min(leastSlackTicks, slackTicks(route));
        }
        return latency.waits().meanWaitTicks() > QUEUEING_SLACK_SHARE * leastSlackTicks;
    }

    /**
     * Returns the wait above which a route is shed: its slack, or less in favor of routes of similar or higher value.
     */
    private double maxWaitTicks(int route) {
        double maxWaitTicks = slackTicks(route);
        for (int other = 0; other < routes.size(); other++) {
            double valueRatio = valueDensity(other) / valueDensity(route);
            if (valueRatio >= MIN_SIMILAR_VALUE_RATIO) {
                double share = valueRatio > MIN_HIGHER_VALUE_RATIO ? LOWER_VALUE_SLACK_SHARE : 1;
                maxWaitTicks = Math.min(maxWaitTicks, slackTicks(other) * share);
            }
        }
        return maxWaitTicks;
    }

    /** Returns how long an attempt of a route may wait and still meet the latency objective. */
    private double slackTicks(int route) {
        return routes.get(route).latencyObjectiveTicks()
                - RESERVED_UNLOADED_LATENCIES * latency.route(route).unloadedTicks();
    }

    /** Returns the value of an answer of a route per unit of endpoint time. */
    private double valueDensity(int route) {
        return routes.get(route).priorityWeight()
                / (isValueProportionalToWork ? 1 : latency.route(route).unloadedTicks());
    }
}
