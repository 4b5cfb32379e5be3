package laurelkeel.partition;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntPredicate;
import laurelkeel.api.Settings;

/**
 * Keeps each build's exposure cap over all partitions together.
 *
 * <p>A partition's decider keeps the cap of its own rollout, but counts the requests of its partition only; it is given
 * a cap that is scaled so that the product is the cap of all requests. What no decider can bound is limited here: the
 * attempts at a canary that also serves as another partition's baseline, and attempts that were sent in a partition
 * before the rollout's own was opened. Not thread-safe.
 */
final class SharedExposureLimiter {
    private final Settings settings;
    private final ExposureWindow allRequests;
    private final Map<Integer, ExposureWindow> attemptsByBuild = new HashMap<>();

    SharedExposureLimiter(Settings settings) {
        this.settings = settings;
        this.allRequests = ExposureWindow.ofRequests(settings);
    }

    void onRequestReceived(int route, long nowTicks) {
        allRequests.add(route, nowTicks);
    }

    /**
     * The cap that a partition's decider has to keep, of the requests that it counts.
     *
     * @param cap share of all requests that the rollout's build may get, from 0 to 1
     * @param partitionRequests the requests of the partition
     * @param openPartitions how many partitions share the requests
     * @return at most 1
     */
    double partitionCap(double cap, ExposureWindow partitionRequests, int openPartitions, long nowTicks) {
        return Math.min(1, cap * ExposureWindow.ratio(allRequests, partitionRequests, nowTicks, openPartitions));
    }

    /**
     * Counts an attempt at a canary, unless the cap forbids it.
     *
     * @param cap share of all requests that the build may get, from 0 to 1
     * @param enforced whether the cap is kept here; otherwise the attempt is always admitted
     * @return whether the attempt may be sent
     */
    boolean tryAcquire(int build, int route, double cap, boolean enforced, long nowTicks) {
        ExposureWindow attempts = attemptsByBuild.computeIfAbsent(build, unused -> ExposureWindow.ofAttempts(settings));
        if (enforced && attempts.count(route, nowTicks) + 1 > permittedAttempts(route, cap, nowTicks)) {
            return false;
        }
        attempts.add(route, nowTicks);
        return true;
    }

    private double permittedAttempts(int route, double cap, long nowTicks) {
        return settings.rollout().exposureAllowance() + cap * allRequests.count(route, nowTicks);
    }

    /** Forgets the attempts at all other builds. */
    void retainBuilds(IntPredicate isRetained) {
        attemptsByBuild.keySet().removeIf(build -> !isRetained.test(build));
    }
}
