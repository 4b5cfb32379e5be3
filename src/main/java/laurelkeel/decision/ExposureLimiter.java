package laurelkeel.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import laurelkeel.api.Settings.Rollout;
import laurelkeel.api.Ticks;

/**
 * Limits the attempts at a canary build to its exposure cap: a fixed allowance plus a share of the requests received,
 * within the window that the settings define.
 *
 * <p>Attempts are counted by build, so that a build that leaves the endpoint list and returns gets no new allowance.
 */
final class ExposureLimiter {
    /** Share of the quota reserved for keys already bound to the canary, because they may not go to any other build. */
    private static final double STICKY_KEY_RESERVE = 0.15;

    /**
     * Lengthens the window for attempts and shortens the window for requests. This errs on the safe side, because an
     * auditor of the cap may see the same events at slightly different times.
     */
    private static final long WINDOW_MARGIN_TICKS = 60;

    /** How long past the window timestamps are retained at most. */
    private static final long RETENTION_TICKS = Ticks.PER_SECOND;

    private final Rollout settings;
    private final int routeCount;
    private final List<SlidingWindow> received;
    private final Map<Integer, List<SlidingWindow>> attemptsByBuild = new HashMap<>();

    ExposureLimiter(Rollout settings, int routeCount) {
        this.settings = settings;
        this.routeCount = routeCount;
        received = newWindows();
    }

    private List<SlidingWindow> newWindows() {
        return Stream.generate(SlidingWindow::new).limit(routeCount).toList();
    }

    void requestReceived(int route, long nowTicks) {
        received.get(windowIndex(route)).record(nowTicks);
    }

    void attemptPlanned(int build, int route, long nowTicks) {
        attempts(build, route).record(nowTicks);
    }

    /**
     * Returns whether one more attempt may be sent to a canary build.
     *
     * @param exposureCap share of the requests that the build may receive, from 0 to 1
     * @param isSticky whether the request's key is bound to the build
     */
    boolean allows(int build, int route, double exposureCap, boolean isSticky, long nowTicks) {
        double quota = quota(route, exposureCap, nowTicks);
        double reserve = isSticky ? 0 : STICKY_KEY_RESERVE * quota;
        return countAttempts(build, route, nowTicks) + 1 + reserve <= settings.exposureAllowance() + quota;
    }

    /**
     * Returns whether the attempts counted so far are within the cap, which may have fallen since.
     *
     * @param exposureCap share of the requests that the build may receive, from 0 to 1
     */
    boolean isWithinCap(int build, int route, double exposureCap, long nowTicks) {
        return countAttempts(build, route, nowTicks)
                <= settings.exposureAllowance() + quota(route, exposureCap, nowTicks);
    }

    private int countAttempts(int build, int route, long nowTicks) {
        return attempts(build, route).countSince(nowTicks - settings.exposureWindowTicks() - WINDOW_MARGIN_TICKS);
    }

    private double quota(int route, double exposureCap, long nowTicks) {
        long fromTicks = nowTicks - settings.exposureWindowTicks() + WINDOW_MARGIN_TICKS;
        return exposureCap * received.get(windowIndex(route)).countSince(fromTicks);
    }

    /** Discards timestamps that are outside the window. */
    void removeExpired(long nowTicks) {
        long beforeTicks = nowTicks - settings.exposureWindowTicks() - RETENTION_TICKS;
        received.forEach(window -> window.removeBefore(beforeTicks));
        attemptsByBuild.values().forEach(windows -> windows.forEach(window -> window.removeBefore(beforeTicks)));
        attemptsByBuild.values().removeIf(windows -> windows.stream().allMatch(SlidingWindow::isEmpty));
    }

    private SlidingWindow attempts(int build, int route) {
        return attemptsByBuild.computeIfAbsent(build, key -> newWindows()).get(windowIndex(route));
    }

    private int windowIndex(int route) {
        return settings.exposurePerRoute() ? route : 0;
    }
}
