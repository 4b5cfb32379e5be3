package laurelkeel.decision;

import laurelkeel.api.Event.AttemptOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the build of a request's next attempt, and with it the endpoint.
 *
 * <p>A key bound to a newer build goes there or nowhere. Other keys of the canary's slice go to the canary while its cap
 * allows, and all else goes to the stable build. Where that has no endpoint left, what the cap allows goes to the canary.
 */
final class BuildRouter {
    /** Picks an endpoint of a build; null where none may take the request. */
    interface Picker {
        @Nullable
        Endpoint pick(int build, ActiveRequest request, long nowTicks);
    }

    private final RolloutState rollout;
    private final StickyKeys stickyKeys;
    private final CanaryRamp ramp;
    private final ExposureLimiter exposure;
    private final Picker picker;

    BuildRouter(RolloutState rollout, StickyKeys stickyKeys, CanaryRamp ramp, ExposureLimiter exposure, Picker picker) {
        this.rollout = rollout;
        this.stickyKeys = stickyKeys;
        this.ramp = ramp;
        this.exposure = exposure;
        this.picker = picker;
    }

    /** Returns the endpoint for the next attempt of a request, or null where none may take it. */
    @Nullable
    Endpoint choose(ActiveRequest request, long nowTicks) {
        String key = request.partitionKey();
        int oldestAllowed = key == null ? StickyKeys.NO_BUILD : stickyKeys.oldestAllowedBuild(key);
        if (oldestAllowed > rollout.stableBuild()) {
            boolean mayGoThere = oldestAllowed == rollout.canaryBuild() && mayExpose(request, true, nowTicks);
            return mayGoThere ? picker.pick(oldestAllowed, request, nowTicks) : null;
        }
        boolean isCanaryOpen = rollout.hasCanary() && !stickyKeys.isFull() && mayExpose(request, false, nowTicks);
        Endpoint endpoint = null;
        if (isCanaryOpen && !request.avoidsCanary() && isInCanarySlice(request)) {
            endpoint = picker.pick(rollout.canaryBuild(), request, nowTicks);
        }
        if (endpoint == null) {
            endpoint = picker.pick(rollout.stableBuild(), request, nowTicks);
        }
        if (endpoint == null && isCanaryOpen) {
            endpoint = picker.pick(rollout.canaryBuild(), request, nowTicks);
        }
        return endpoint;
    }

    /** Counts a request, a share of which the canary may get. */
    void requestReceived(int route, long nowTicks) {
        exposure.requestReceived(route, nowTicks);
    }

    /** Counts an attempt against the cap of the canary, if it goes there. */
    void attemptPlanned(ActiveRequest request, Endpoint endpoint, long nowTicks) {
        if (isCanary(endpoint)) {
            exposure.attemptSent(endpoint.build(), request.routeIndex(), nowTicks);
        }
    }

    /** Binds the key of a request while its attempt is in flight. */
    void attemptSent(ActiveRequest request, Endpoint endpoint) {
        String key = request.partitionKey();
        if (key != null && rollout.bindsKeys(endpoint.build())) {
            stickyKeys.attemptSent(key, endpoint.build());
        }
    }

    /** Binds the key of a request for good where the endpoint has served it or may have. */
    void attemptEnded(ActiveRequest request, Endpoint endpoint, AttemptOutcome outcome) {
        String key = request.partitionKey();
        if (key == null) {
            return;
        }
        stickyKeys.attemptEnded(key, endpoint.build());
        if (outcome.mayHaveServed() && rollout.bindsKeys(endpoint.build())) {
            stickyKeys.served(key, endpoint.build());
        }
    }

    /** Whether an endpoint runs the canary build. */
    boolean isCanary(Endpoint endpoint) {
        return endpoint.build() == rollout.canaryBuild();
    }

    private boolean mayExpose(ActiveRequest request, boolean isSticky, long nowTicks) {
        return rollout.mayExpose(request.route().idempotency())
                && exposure.allows(
                        rollout.canaryBuild(), request.routeIndex(), rollout.exposureCap(), isSticky, nowTicks);
    }

    private boolean isInCanarySlice(ActiveRequest request) {
        String key = request.partitionKey();
        double fraction =
                key == null ? request.keylessFraction() : StickyKeySlice.fractionOf(key, rollout.canaryBuild());
        return fraction < ramp.threshold();
    }
}
