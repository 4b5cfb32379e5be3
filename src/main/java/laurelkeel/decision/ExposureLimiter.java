package laurelkeel.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import laurelkeel.api.Settings.Rollout;
import laurelkeel.api.Ticks;

/**
 * Keeps the attempts at a canary build within its cap: a free allowance and a share of the requests received, within the
 * window of the settings.
 *
 * <p>Attempts are counted by build, so that a build which leaves the endpoint list and returns has no new allowance.
 */
final class ExposureLimiter {
    /** Share of the quota that is kept for keys already bound to the canary: these cannot go anywhere else. */
    private static final double RESERVED_FOR_STICKY_KEYS = 0.15;

    /** The window is counted this much too long or too short, to our disadvantage: whoever audits it may see the same moments a little apart. */
    private static final long EXPOSURE_MARGIN_TICKS = 60;

    /** Past the window, for how long moments are kept at most. */
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
        received.get(counterOf(route)).record(nowTicks);
    }

    void attemptSent(int build, int route, long nowTicks) {
        attempts(build, route).record(nowTicks);
    }

    /**
     * Whether one more attempt may be sent to a canary build.
     *
     * @param exposureCap share of the requests that the build may get, from 0 to 1
     * @param isSticky whether the request's key is bound to the build
     */
    boolean allows(int build, int route, double exposureCap, boolean isSticky, long nowTicks) {
        long windowTicks = settings.exposureWindowTicks();
        int attempts = attempts(build, route).countSince(nowTicks - windowTicks - EXPOSURE_MARGIN_TICKS);
        int requests = received.get(counterOf(route)).countSince(nowTicks - windowTicks + EXPOSURE_MARGIN_TICKS);
        double quota = exposureCap * requests;
        double reserve = isSticky ? 0 : RESERVED_FOR_STICKY_KEYS * quota;
        return attempts + 1 + reserve <= settings.exposureAllowance() + quota;
    }

    /** Forgets what is out of the window. */
    void forgetOld(long nowTicks) {
        long beforeTicks = nowTicks - settings.exposureWindowTicks() - RETENTION_TICKS;
        received.forEach(window -> window.removeBefore(beforeTicks));
        attemptsByBuild.values().forEach(windows -> windows.forEach(window -> window.removeBefore(beforeTicks)));
        attemptsByBuild.values().removeIf(windows -> windows.stream().allMatch(SlidingWindow::isEmpty));
    }

    private SlidingWindow attempts(int build, int route) {
        return attemptsByBuild.computeIfAbsent(build, key -> newWindows()).get(counterOf(route));
    }

    private int counterOf(int route) {
        return settings.exposurePerRoute() ? route : 0;
    }
}
