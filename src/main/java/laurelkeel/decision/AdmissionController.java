package laurelkeel.decision;

import java.util.List;
import laurelkeel.api.Settings;
import laurelkeel.api.Settings.Route;

/**
 * Sheds requests that would come too late, and leaves the queues to routes that earn more.
 *
 * <p>A request is admitted while the wait to expect at its endpoint leaves its route, and routes of like or higher value,
 * time to meet their latency objectives.
 */
final class AdmissionController {
    /** So many calm latencies of the objective are kept for the service itself; the rest is slack. */
    private static final double CALM_LATENCIES_RESERVED = 1.5;

    /** So many attempts of a route go out at any wait: a node that only sheds would never learn of an overload's end. */
    private static final int ALWAYS_ADMITTED_IN_FLIGHT = 2;

    private static final double MIN_LIKE_VALUE_RATIO = 0.8;
    private static final double MIN_HIGHER_VALUE_RATIO = 1.25;
    /** Share of the slack of routes that earn more, beyond which a route gives way to them. */
    private static final double SLACK_SHARE_LEFT_TO_HIGHER_VALUE = 0.7;

    /** Share of the least slack from which answers count as waiting. */
    private static final double WAITING_SLACK_SHARE = 0.1;

    private final List<Route> routes;
    private final boolean isValueByWork;
    private final LatencyModel latency;

    AdmissionController(Settings settings, LatencyModel latency) {
        this.routes = settings.routes();
        this.isValueByWork = settings.valueByWork();
        this.latency = latency;
    }

    /** Whether a request may be sent to an endpoint now; otherwise it is to be shed. */
    boolean admits(ActiveRequest request, Endpoint endpoint, long nowTicks) {
        RouteLatency routeLatency = latency.route(request.routeIndex());
        if (routeLatency.inFlight() < ALWAYS_ADMITTED_IN_FLIGHT) {
            return true;
        }
        // a route whose answers all come late only takes up capacity, whatever the cause
        boolean isTooLate = routeLatency.recentMeanTicks() > request.route().latencyObjectiveTicks()
                || latency.expectedWaitTicks(endpoint, nowTicks) > maxWaitTicks(request.routeIndex());
        return !isTooLate;
    }

    /** Whether an attempt that is about to miss its objective is to be given up: queues of late answers never empty. */
    boolean isToBeAbandoned(ActiveRequest request, Attempt attempt, long nowTicks) {
        return latency.expectedWaitTicks(attempt.endpoint(), nowTicks) > slackTicks(request.routeIndex()) / 2;
    }

    /** Whether the mean wait is a considerable part of the least slack of all routes. */
    boolean areAnswersWaiting() {
        double leastSlackTicks = Double.MAX_VALUE;
        for (int route = 0; route < routes.size(); route++) {
            leastSlackTicks = Math.min(leastSlackTicks, slackTicks(route));
        }
        return latency.waits().meanWaitTicks() > WAITING_SLACK_SHARE * leastSlackTicks;
    }

    /** Returns the wait at which a route gives way: its slack, or less for the sake of routes that earn as much or more. */
    private double maxWaitTicks(int route) {
        double maxWaitTicks = slackTicks(route);
        for (int other = 0; other < routes.size(); other++) {
            double valueRatio = valueDensity(other) / valueDensity(route);
            if (valueRatio >= MIN_LIKE_VALUE_RATIO) {
                double share = valueRatio > MIN_HIGHER_VALUE_RATIO ? SLACK_SHARE_LEFT_TO_HIGHER_VALUE : 1;
                maxWaitTicks = Math.min(maxWaitTicks, slackTicks(other) * share);
            }
        }
        return maxWaitTicks;
    }

    /** Returns how long an attempt of a route may wait and still meet the objective. */
    private double slackTicks(int route) {
        return routes.get(route).latencyObjectiveTicks()
                - CALM_LATENCIES_RESERVED * latency.route(route).unloadedTicks();
    }

    /** Returns what an answer of a route earns for the time that it takes an endpoint. */
    private double valueDensity(int route) {
        return routes.get(route).priorityWeight()
                / (isValueByWork ? 1 : latency.route(route).unloadedTicks());
    }
}
