package laurelkeel.decision;

import laurelkeel.api.Event.AttemptOutcome;
import laurelkeel.api.WritePermission.Refusal;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the build and the endpoint of a request's next attempt.
 *
 * <p>A request whose key is bound to a build newer than the stable one is sent to that build or not at all. Another
 * request goes to the canary if the fraction of its key is below the current threshold, the cap and the stage allow it,
 * the table of sticky keys is not full, and no attempt of the request has ended at the canary without completing. The
 * rest go to the stable build. If that has no endpoint for them, the canary serves as many as its cap and stage allow.
 */
final class BuildRouter {
    /** Picks an endpoint of a build; null if none may take the request. */
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

    /** Returns the endpoint for the next attempt of a request, or null if none may take it. */
    @Nullable
    Endpoint choose(ActiveRequest request, long nowTicks) {
        String key = request.partitionKey();
        int oldestAllowed = key == null ? StickyKeys.NO_BUILD : stickyKeys.oldestAllowedBuild(key);
        if (oldestAllowed > rollout.stableBuild()) {
            boolean mayUseBoundBuild = oldestAllowed == rollout.canaryBuild() && mayExpose(request, true, nowTicks);
            return mayUseBoundBuild ? picker.pick(oldestAllowed, request, nowTicks) : null;
        }
        boolean mayUseCanary = rollout.hasCanary() && !stickyKeys.isFull() && mayExpose(request, false, nowTicks);
        Endpoint endpoint = null;
        if (mayUseCanary && !request.avoidsCanary() && isBelowCanaryThreshold(request)) {
            endpoint = picker.pick(rollout.canaryBuild(), request, nowTicks);
        }
        if (endpoint == null) {
            endpoint = picker.pick(rollout.stableBuild(), request, nowTicks);
        }
        if (endpoint == null && mayUseCanary) {
            endpoint = picker.pick(rollout.canaryBuild(), request, nowTicks);
        }
        return endpoint;
    }

    /**
     * Returns why an attempt in flight must not be written to its endpoint, although the endpoint could be chosen when the
     * attempt was planned; null if it may be written.
     */
    @Nullable
    Refusal refusalToWrite(ActiveRequest request, Endpoint endpoint, long nowTicks) {
        if (!endpoint.isActive()) {
            return Refusal.ENDPOINT_INACTIVE;
        }
        String key = request.partitionKey();
        int build = endpoint.build();
        if (key != null && build < stickyKeys.oldestAllowedBuild(key)) {
            return Refusal.KEY_BOUND_TO_LATER_BUILD;
        }
        boolean isServing =
                build == rollout.stableBuild() || (isCanary(endpoint) && mayStillExpose(request, build, nowTicks));
        return isServing ? null : Refusal.BUILD_NOT_SERVING;
    }

    private boolean mayStillExpose(ActiveRequest request, int build, long nowTicks) {
        return rollout.mayExpose(request.route().idempotency())
                && exposure.isWithinCap(build, request.routeIndex(), rollout.exposureCap(), nowTicks);
    }

    /** Counts a request received; the canary's exposure cap is a share of these. */
    void requestReceived(int route, long nowTicks) {
        exposure.requestReceived(route, nowTicks);
    }

    /** Counts an attempt against the canary's exposure cap if it goes to the canary. */
    void attemptPlanned(ActiveRequest request, Endpoint endpoint, long nowTicks) {
        if (isCanary(endpoint)) {
            exposure.attemptPlanned(endpoint.build(), request.routeIndex(), nowTicks);
        }
    }

    /** Binds the key of a request to the endpoint's build while the attempt is in flight. */
    void attemptSent(ActiveRequest request, Endpoint endpoint) {
        String key = request.partitionKey();
        if (key != null && rollout.bindsKeys(endpoint.build())) {
            stickyKeys.attemptSent(key, endpoint.build());
        }
    }

    /**
     * Ends the temporary binding of the request's key that existed while the attempt was in flight. If the endpoint has
     * served the request or may have, and the rollout binds keys to its build, binds the key until the build is
     * released or rolled back.
     */
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

    /** Returns whether an endpoint runs the canary build. */
    boolean isCanary(Endpoint endpoint) {
        return endpoint.build() == rollout.canaryBuild();
    }

    private boolean mayExpose(ActiveRequest request, boolean isSticky, long nowTicks) {
        return rollout.mayExpose(request.route().idempotency())
                && exposure.allows(
                        rollout.canaryBuild(), request.routeIndex(), rollout.exposureCap(), isSticky, nowTicks);
    }

    private boolean isBelowCanaryThreshold(ActiveRequest request) {
        String key = request.partitionKey();
        double fraction =
                key == null ? request.keylessFraction() : StickyKeySlice.fractionOf(key, rollout.canaryBuild());
        return fraction < ramp.threshold();
    }
}
