package laurelkeel.partition;

import java.util.OptionalDouble;
import laurelkeel.api.WritePermission.Refusal;
import org.jspecify.annotations.Nullable;

/**
 * What the state of all partitions together forbids, which no single decider knows: asked when a partition's decider sends an
 * attempt, and again when the attempt is written. Not thread-safe.
 */
final class SharedAttemptRules {
    private final ConcurrentRollouts rollouts;
    private final PartitionSet partitions;
    private final StickyKeyBindings keyBindings;
    private final SharedExposureLimiter exposureLimiter;

    SharedAttemptRules(
            ConcurrentRollouts rollouts,
            PartitionSet partitions,
            StickyKeyBindings keyBindings,
            SharedExposureLimiter exposureLimiter) {
        this.rollouts = rollouts;
        this.partitions = partitions;
        this.keyBindings = keyBindings;
        this.exposureLimiter = exposureLimiter;
    }

    /** Returns whether an attempt may be sent to a build, and counts it against the build's cap if it may. */
    boolean admit(OwnedRequest request, int build, long nowTicks) {
        if (isServedByLaterBuild(request, build)) {
            return false;
        }
        OptionalDouble cap = rollouts.exposureCap(build);
        return cap.isEmpty()
                || exposureLimiter.tryAcquire(
                        build, request.route(), cap.getAsDouble(), !partitions.isSingle(), nowTicks);
    }

    /** Returns why the last attempt of a request, which was admitted, must not be written any more; null if it may be. */
    @Nullable
    Refusal refusalToWrite(OwnedRequest request, long nowTicks) {
        int build = request.lastAttemptBuild();
        if (isServedByLaterBuild(request, build)) {
            return Refusal.KEY_BOUND_TO_LATER_BUILD;
        }
        boolean isServing = !rollouts.isRolledBack(build) && isWithinCap(request, build, nowTicks);
        return isServing ? null : Refusal.BUILD_NOT_SERVING;
    }

    private boolean isServedByLaterBuild(OwnedRequest request, int build) {
        return keyBindings.isServedByLaterBuild(
                request.key(), build, request.partition().id(), !partitions.isSingle());
    }

    private boolean isWithinCap(OwnedRequest request, int build, long nowTicks) {
        OptionalDouble cap = rollouts.exposureCap(build);
        return cap.isEmpty()
                || partitions.isSingle()
                || exposureLimiter.isWithinCap(build, request.route(), cap.getAsDouble(), nowTicks);
    }
}
