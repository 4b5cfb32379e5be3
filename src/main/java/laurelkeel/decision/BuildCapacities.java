package laurelkeel.decision;

import java.util.Collection;

/** The builds that have active endpoints, and how much these can serve. */
interface BuildCapacities {
    /** Returns the builds that have active endpoints. */
    Collection<Integer> activeBuilds();

    /** Returns the newest build that has active endpoints, or the least integer where none has. */
    int newestActiveBuild();

    /** Returns the capacity of a build's active endpoints, as far as they have warmed up; 0 where it has none. */
    double currentCapacity(int build, long nowTicks);
}
