package laurelkeel.decision;

import java.util.stream.Stream;

/** Outcomes of the attempts at one build, by route and in total. */
final class RouteOutcomes {
    /** Route index that represents all routes together. */
    static final int ALL_ROUTES = -1;

    private final BuildOutcomes[] byRoute;
    private final BuildOutcomes overall = new BuildOutcomes();

    RouteOutcomes(int routeCount) {
        byRoute = Stream.generate(BuildOutcomes::new).limit(routeCount).toArray(BuildOutcomes[]::new);
    }

    /** Adds outcomes of one route. */
    void add(int route, BuildOutcomes outcomes) {
        byRoute[route].add(outcomes);
        overall.add(outcomes);
    }

    int routeCount() {
        return byRoute.length;
    }

    /** Returns the outcomes of one route, or of {@link #ALL_ROUTES}. */
    BuildOutcomes of(int route) {
        return route == ALL_ROUTES ? overall : byRoute[route];
    }

    BuildOutcomes overall() {
        return overall;
    }
}
