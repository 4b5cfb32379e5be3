package laurelkeel.decision;

/**
 * Raises the share of the key space that a canary build serves, as far as its exposure cap and its present capacity
 * allow.
 *
 * <p>The share never falls during a rollout, so that no key alternates between builds.
 */
final class CanaryRamp {
    /** The rest of the cap is a margin for uneven traffic, because keys beyond the cap have to go to the stable build. */
    private static final double TARGET_SHARE_OF_CAP = 0.8;

    /** Largest load of the canary's endpoints relative to that of the stable build's endpoints before the rollout. */
    private static final double MAX_RELATIVE_LOAD = 1.25;

    private static final double MIN_CAPACITY = 1e-9;

    private int canaryBuild = RolloutState.NO_BUILD;
    private double stableCapacityBefore;
    private double threshold;

    /** Records the builds at a decision; a different canary starts from a share of 0. */
    void observe(int currentCanary, double stableCapacity) {
        if (currentCanary != canaryBuild) {
            canaryBuild = currentCanary;
            threshold = 0;
            stableCapacityBefore = 0;
        }
        stableCapacityBefore = Math.max(stableCapacityBefore, stableCapacity);
    }

    /**
     * Raises the share to what the cap and the capacities allow now.
     *
     * @param exposureCap share of the requests that the canary may receive
     */
    void raise(double exposureCap, double canaryCapacity, double stableCapacity) {
        double targetShare = TARGET_SHARE_OF_CAP * exposureCap;
        double target = Math.min(
                targetShare, MAX_RELATIVE_LOAD * canaryCapacity / Math.max(stableCapacityBefore, MIN_CAPACITY));
        if (stableCapacity < (1 - targetShare) * stableCapacityBefore) {
            // the stable build can no longer serve the rest
            target = Math.max(target, Math.min(exposureCap, canaryCapacity / (canaryCapacity + stableCapacity)));
        }
        threshold = Math.max(threshold, target);
    }

    /** Returns the share, from 0 to 1; keys whose fraction is lower go to the canary. */
    double threshold() {
        return threshold;
    }
}
