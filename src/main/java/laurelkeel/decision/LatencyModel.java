package laurelkeel.decision;

import java.util.List;
import laurelkeel.api.Settings.Route;

/** The latency statistics of this node: the latency of each route and the wait at the endpoints. */
final class LatencyModel {
    private final List<RouteLatency> routes;
    private final QueueWaitEstimator waits = new QueueWaitEstimator();

    /** @param routes the routes of the settings, in their order */
    LatencyModel(List<Route> routes) {
        this.routes = routes.stream()
                .map(route -> new RouteLatency(route.latencyObjectiveTicks()))
                .toList();
    }

    /** Returns the latency of a route by its index in the settings. */
    RouteLatency route(int index) {
        return routes.get(index);
    }

    QueueWaitEstimator waits() {
        return waits;
    }

    /** Returns the number of this node's attempts in flight on all routes. */
    int inFlight() {
        return routes.stream().mapToInt(RouteLatency::inFlight).sum();
    }

    /** Returns the expected wait at an endpoint before an attempt is served. */
    double expectedWaitTicks(Endpoint endpoint, long nowTicks) {
        return waits.expectedWaitTicks(endpoint.latency(), endpoint.inFlight(), nowTicks);
    }
}
