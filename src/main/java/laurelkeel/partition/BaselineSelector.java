package laurelkeel.partition;

import java.util.Map;

/**
 * Chooses the baseline of a rollout: the build that serves the requests of its partition which the rollout's build does
 * not get.
 *
 * <p>The released build is the baseline. A canary that may get all requests takes its place for later rollouts once its
 * active endpoints have {@value #SUCCESSOR_WEIGHT_RATIO} times the weight of the baseline's: as endpoints of the
 * released build give way to it, those that remain could not carry the other partitions.
 */
final class BaselineSelector {
    /** Weight of a canary, beside that of the baseline before it, from which it is the baseline of later rollouts. */
    static final double SUCCESSOR_WEIGHT_RATIO = 2;

    private final ConcurrentRollouts rollouts;
    private final EndpointTable endpoints;
    private final int guardedStages;

    /** @param guardedStages so many stages, from the first, in which a canary may not get all kinds of requests */
    BaselineSelector(ConcurrentRollouts rollouts, EndpointTable endpoints, int guardedStages) {
        this.rollouts = rollouts;
        this.endpoints = endpoints;
        this.guardedStages = guardedStages;
    }

    /** The baseline for the rollout of a build, or {@link ConcurrentRollouts#NO_BUILD} where none is known. */
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

    /** Stands in for the released build until an update names it. */
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
