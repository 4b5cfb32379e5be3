package laurelkeel.partition;

import java.util.Map;

/**
 * Selects the baseline of a rollout: the build that serves the requests of the rollout's partition that the rollout's
 * build does not receive.
 *
 * <p>The released build is the baseline. For later rollouts, a canary that may receive all requests replaces it once
 * the canary's active endpoints have {@value #SUCCESSOR_WEIGHT_RATIO} times the weight of those of the baseline,
 * because the canary's endpoints replace those of the released build and the remaining ones could not carry the load of
 * the other partitions.
 */
final class BaselineSelector {
    /**
     * The ratio of a canary's weight to that of the previous baseline from which the canary is the baseline of later
     * rollouts.
     */
    static final double SUCCESSOR_WEIGHT_RATIO = 2;

    private final ConcurrentRollouts rollouts;
    private final EndpointTable endpoints;
    private final int guardedStages;

    /**
     * @param guardedStages the number of stages, from the first, in which a canary may not receive all kinds of
     *     requests
     */
    BaselineSelector(ConcurrentRollouts rollouts, EndpointTable endpoints, int guardedStages) {
        this.rollouts = rollouts;
        this.endpoints = endpoints;
        this.guardedStages = guardedStages;
    }

    /** Returns the baseline for the rollout of a build, or {@link ConcurrentRollouts#NO_BUILD} if none is known. */
    int baselineFor(int rolloutBuild) {
        int baseline = rollouts.releasedBuild();
        if (baseline == ConcurrentRollouts.NO_BUILD) {
            baseline = largestBuildWithoutRollout();
        }
        double requiredWeight = SUCCESSOR_WEIGHT_RATIO * endpoints.activeWeight(baseline);
        for (RolloutRecord rollout : rollouts.all()) {
            int build = rollout.build();
            if (mayGetAllRequests(rollout)
                    && build < rolloutBuild
                    && build > baseline
                    && endpoints.activeWeight(build) >= requiredWeight) {
                baseline = build;
            }
        }
        return Math.max(baseline, rollouts.minimumBaseline());
    }

    private boolean mayGetAllRequests(RolloutRecord rollout) {
        return rollout.isCanary() && rollout.exposureCap() >= 1 && rollout.stage() >= guardedStages;
    }

    /**
     * Returns the baseline to use until an update names the released build: the build with the most active weight that
     * has no rollout.
     */
    private int largestBuildWithoutRollout() {
        int largestBuild = ConcurrentRollouts.NO_BUILD;
        double largestWeight = 0;
        for (Map.Entry<Integer, Double> entry : endpoints.activeWeights().entrySet()) {
            if (!rollouts.isKnown(entry.getKey()) && entry.getValue() > largestWeight) {
                largestBuild = entry.getKey();
                largestWeight = entry.getValue();
            }
        }
        return largestBuild;
    }
}
