package laurelkeel.partition;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntPredicate;
import laurelkeel.api.Settings;

/**
 * Enforces each build's exposure cap over all partitions together.
 *
 * <p>A partition's decider enforces the cap of its own rollout, but counts only the requests of its partition. It is
 * therefore given a scaled cap, whose product with the partition's requests is the cap of all requests. This class
 * limits what no single decider can: the attempts at a canary that also serves as another partition's baseline, and the
 * attempts that were sent in a partition before the rollout's own partition was opened. Not thread-safe.
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
     * Returns the exposure cap for a partition's decider, as a share of the requests that this decider counts.
     *
     * @param cap the maximum share of all requests that the rollout's build may receive, from 0 to 1
     * @param partitionRequests counts the requests of the partition
     * @param openPartitions the number of partitions that share the requests
     * @return at most 1
     */
    double partitionCap(double cap, ExposureWindow partitionRequests, int openPartitions, long nowTicks) {
        return Math.min(1, cap * ExposureWindow.ratio(allRequests, partitionRequests, nowTicks, openPartitions));
    }

    /**
     * Counts an attempt at a canary, unless the cap forbids the attempt.
     *
     * @param cap the maximum share of all requests that the build may receive, from 0 to 1
     * @param enforced whether the cap is enforced here; otherwise the attempt is always admitted
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

    /**
     * Returns whether the attempts counted so far are within the cap, which may have fallen since.
     *
     * @param cap the maximum share of all requests that the build may receive, from 0 to 1
     */
    boolean isWithinCap(int build, int route, double cap, long nowTicks) {
        ExposureWindow attempts = attemptsByBuild.get(build);
        return attempts == null || attempts.count(route, nowTicks) <= permittedAttempts(route, cap, nowTicks);
    }

    private double permittedAttempts(int route, double cap, long nowTicks) {
        return settings.rollout().exposureAllowance() + cap * allRequests.count(route, nowTicks);
    }

    /** Removes the counts of attempts at all builds that the predicate does not accept. */
    void retainBuilds(IntPredicate isRetained) {
        attemptsByBuild.keySet().removeIf(build -> !isRetained.test(build));
    }
}
