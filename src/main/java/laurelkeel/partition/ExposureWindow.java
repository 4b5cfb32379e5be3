package laurelkeel.partition;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import laurelkeel.api.Settings;

/**
 * Counts requests or attempts of the last exposure window, of each route by itself or of all together as the settings
 * say. Not thread-safe.
 */
final class ExposureWindow {
    /**
     * By so much a decider's own window is shorter for requests and longer for attempts than the settings': what falls
     * on an edge never raises the exposure.
     */
    private static final long EDGE_MARGIN_TICKS = 60;

    private final long spanTicks;
    private final boolean perRoute;
    /** Times of arrival, oldest first: one queue a route, or one for all. */
    private final List<ArrayDeque<Long>> arrivals = new ArrayList<>();

    /**
     * Creates an empty window.
     *
     * @param spanTicks how long an arrival counts
     * @param perRoute whether each route is counted by itself
     */
    ExposureWindow(int routeCount, long spanTicks, boolean perRoute) {
        this.spanTicks = spanTicks;
        this.perRoute = perRoute;
        int scopes = perRoute ? routeCount : 1;
        for (int scope = 0; scope < scopes; scope++) {
            arrivals.add(new ArrayDeque<>());
        }
    }

    /** A window of requests, whose number permits exposure: it counts none too many. */
    static ExposureWindow ofRequests(Settings settings) {
        return create(settings, -EDGE_MARGIN_TICKS);
    }

    /** A window of attempts, which are the exposure: it counts none too few. */
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
        // also where nobody asks for the count, or a node with one rollout would keep every arrival
        evictExpired(scope, nowTicks);
    }

    /** How many arrivals count where one of this route would. */
    int count(int route, long nowTicks) {
        return evictExpired(scopeOf(route), nowTicks);
    }

    /** How many arrivals are kept, in all scopes. */
    int size() {
        return arrivals.stream().mapToInt(ArrayDeque::size).sum();
    }

    /**
     * How many times a part's arrivals all arrivals are, in the scope where that is least.
     *
     * @param part counts a part of what {@code all} counts, in the same scopes
     * @param maxRatio the result where the part has no arrivals, and the most that is returned
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
