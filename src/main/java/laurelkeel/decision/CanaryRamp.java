package laurelkeel.decision;

/**
 * Raises the share of the key space that a canary build serves, as its cap and its warm capacity allow.
 *
 * <p>The share only rises during one rollout, so that no key goes back and forth between builds.
 */
final class CanaryRamp {
    /** The rest of the cap is room for uneven traffic: keys beyond the cap have to go to the stable build. */
    private static final double TARGET_SHARE_OF_CAP = 0.8;

    /** How much busier the canary's endpoints may be than those of the stable build were before the rollout. */
    private static final double MAX_RELATIVE_LOAD = 1.25;

    private static final double MIN_CAPACITY = 1e-9;

    private int canaryBuild = RolloutState.NO_BUILD;
    private double stableCapacityBefore;
    private double threshold;

    /** Takes note of the builds at a decision; another canary starts from nothing. */
    void observe(int currentCanary, double stableCapacity) {
        if (currentCanary != canaryBuild) {
            canaryBuild = currentCanary;
            threshold = 0;
            stableCapacityBefore = 0;
        }
        stableCapacityBefore = Math.max(stableCapacityBefore, stableCapacity);
    }

    /**
     * Raises the share to what cap and capacities allow now.
     *
     * @param exposureCap share of the requests that the canary may get
     */
    void raise(double exposureCap, double canaryCapacity, double stableCapacity) {
        double targetShare = TARGET_SHARE_OF_CAP * exposureCap;
        double target = Math.min(
                targetShare, MAX_RELATIVE_LOAD * canaryCapacity / Math.max(stableCapacityBefore, MIN_CAPACITY));
        if (stableCapacity < (1 - targetShare) * stableCapacityBefore) {
            // the stable build cannot serve the rest any more
            target = Math.max(target, Math.min(exposureCap, canaryCapacity / (canaryCapacity + stableCapacity)));
        }
        threshold = Math.max(threshold, target);
    }

    /** Returns the share, from 0 to 1: keys at lower fractions go to the canary. */
    double threshold() {
        return threshold;
    }
}
