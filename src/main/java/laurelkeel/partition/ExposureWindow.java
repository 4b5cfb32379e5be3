package laurelkeel.partition;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import laurelkeel.api.Settings;

/**
 * Counts the requests or attempts of the last exposure window, for each route separately or for all routes together,
 * depending on the settings. Not thread-safe.
 */
final class ExposureWindow {
    /**
     * The margin by which a window for requests is shorter, and a window for attempts longer, than the window of the
     * settings, so that an arrival at the edge of the window never raises the exposure. A decider's own window has the
     * same margin.
     */
    private static final long EDGE_MARGIN_TICKS = 60;

    private final long spanTicks;
    private final boolean perRoute;
    /** Arrival times in ticks, oldest first: one queue per route, or a single queue for all routes. */
    private final List<ArrayDeque<Long>> arrivals = new ArrayList<>();

    /**
     * Creates an empty window.
     *
     * @param spanTicks how long an arrival is counted
     * @param perRoute whether each route is counted separately
     */
    ExposureWindow(int routeCount, long spanTicks, boolean perRoute) {
        this.spanTicks = spanTicks;
        this.perRoute = perRoute;
        int scopes = perRoute ? routeCount : 1;
        for (int scope = 0; scope < scopes; scope++) {
            arrivals.add(new ArrayDeque<>());
        }
    }

    /** Creates a window for requests. Their number permits exposure, so the window must not count too many. */
    static ExposureWindow ofRequests(Settings settings) {
        return create(settings, -EDGE_MARGIN_TICKS);
    }

    /** Creates a window for attempts. They are the exposure, so the window must not count too few. */
    static ExposureWindow ofAttempts(Settings settings) {
        return create(settings, EDGE_MARGIN_TICKS);
    }

    private static ExposureWindow create(Settings settings, long marginTicks) {
        Settings.Rollout rollout = settings.rollout();
        return new ExposureWindow(
                settings.routes().size(), rollout.exposureWindowTicks() + marginTicks, rollout.exposurePerRoute());
    }

    void add(int route, long nowTicks) {
        int scope = scopeOf(route);
        arrivals.get(scope).addLast(nowTicks);
        // even if nothing reads the count: otherwise a node with one rollout would store every arrival
        evictExpired(scope, nowTicks);
    }

    /** Returns the number of arrivals that are counted together with those of the given route. */
    int count(int route, long nowTicks) {
        return evictExpired(scopeOf(route), nowTicks);
    }

    /** Returns the number of arrivals that are stored, in all scopes. */
    int size() {
        return arrivals.stream().mapToInt(ArrayDeque::size).sum();
    }

    /**
     * Returns the ratio of all arrivals to those of a part, in the scope in which this ratio is lowest.
     *
     * @param part counts a subset of what {@code all} counts, in the same scopes
     * @param maxRatio the upper limit of the result, and the result if the part has no arrivals
     * @return at least 1
     */
    static double ratio(ExposureWindow all, ExposureWindow part, long nowTicks, double maxRatio) {
        double minRatio = maxRatio;
        for (int scope = 0; scope < all.arrivals.size(); scope++) {
            int partCount = part.evictExpired(scope, nowTicks);
            if (partCount > 0) {
                minRatio = Math.min(minRatio, all.evictExpired(scope, nowTicks) / (double) partCount);
            }
        }
        return Math.max(1, minRatio);
    }

    private int scopeOf(int route) {
        return perRoute ? route : 0;
    }

    private int evictExpired(int scope, long nowTicks) {
        ArrayDeque<Long> times = arrivals.get(scope);
        while (!times.isEmpty() && times.getFirst() < nowTicks - spanTicks) {
            times.removeFirst();
        }
        return times.size();
    }
}
