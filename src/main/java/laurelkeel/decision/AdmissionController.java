package laurelkeel.decision;

import java.util.List;
import laurelkeel.api.Settings;
import laurelkeel.api.Settings.Route;

/**
 * Sheds requests whose answers would be too late, and requests of low-value routes before those of high-value routes.
 *
 * <p>A request is admitted if its route has fewer than two attempts in flight. Otherwise the recent mean latency of the
 * route must be within its latency objective, and the expected wait at the endpoint within the slack of the route and
 * of all routes of similar or higher value per unit of endpoint time. Of the slack of a route of higher value, only 70%
 * count.
 */
final class AdmissionController {
    /**
     * Multiple of the unloaded latency that is reserved for processing; the rest of the objective is slack for waiting.
     */
    private static final double RESERVED_UNLOADED_LATENCIES = 1.5;

    /**
     * Number of attempts in flight below which a route's requests are always admitted: a node that sheds everything
     * could not observe the end of an overload.
     */
    private static final int ALWAYS_ADMITTED_IN_FLIGHT = 2;

    /** Smallest ratio of another route's value density to that of a route at which its value counts as similar. */
    private static final double MIN_SIMILAR_VALUE_RATIO = 0.8;

    /** Ratio of another route's value density to that of a route above which its value counts as higher. */
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
        // a route whose answers are late on average uses capacity for answers of little or no value, whatever the cause
        boolean isTooLate = routeLatency.recentMeanTicks() > request.route().latencyObjectiveTicks()
                || latency.expectedWaitTicks(endpoint, nowTicks) > maxWaitTicks(request.routeIndex());
        return !isTooLate;
    }

    /**
     * Returns whether to reject or fail a request that is about to miss its latency objective, because the expected
     * wait at the endpoint of its attempt exceeds half of the slack. Queues that serve only late answers would
     * otherwise never drain.
     */
    boolean shouldAbandon(ActiveRequest request, Attempt attempt, long nowTicks) {
        return latency.expectedWaitTicks(attempt.endpoint(), nowTicks) > slackTicks(request.routeIndex()) / 2;
    }

    /** Returns whether the mean wait exceeds a tenth of the smallest slack of all routes. */
    boolean areAttemptsQueueing() {
        double leastSlackTicks = Double.MAX_VALUE;
        for (int route = 0; route < routes.size(); route++) {
            leastSlackTicks = Math.min(leastSlackTicks, slackTicks(route));
        }
        return latency.waits().meanWaitTicks() > QUEUEING_SLACK_SHARE * leastSlackTicks;
    }

    /**
     * Returns the wait above which a route is shed: its own slack, or less if routes of similar or higher value have
     * less, of which only a part counts for routes of higher value.
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
