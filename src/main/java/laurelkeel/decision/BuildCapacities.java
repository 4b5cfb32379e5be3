package laurelkeel.decision;

import java.util.Collection;

/** The builds that have active endpoints, and the capacities of these endpoints. */
interface BuildCapacities {
    /** Returns the builds that have active endpoints. */
    Collection<Integer> activeBuilds();

    /** Returns the newest build that has active endpoints, or {@link Integer#MIN_VALUE} if there is none. */
    int newestActiveBuild();

    /**
     * Returns the present capacity of a build's active endpoints, which is reduced while they are warming up; 0 if it has
     * none.
     */
    double currentCapacity(int build, long nowTicks);
}
