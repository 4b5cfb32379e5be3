package laurelkeel.attribution;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * One possible explanation of the levels of a {@link FleetMeasure} in the last minute.
 *
 * @param builds the builds whose traffic is the cause; empty for other causes
 * @param probability posterior probability among all explanations, from 0 to 1
 * @param effect size of the regression, in the units of {@link FleetMeasure#levels}
 * @param affectedSeconds number of seconds in which the regression was large enough to matter
 * @param endedInterval interval of a transient cause that has ended, or null
 */
record Explanation(
        Cause cause,
        List<Integer> builds,
        double probability,
        Estimate effect,
        int affectedSeconds,
        @Nullable Interval endedInterval) {

    /** A kind of cause. */
    enum Cause {
        /** There is no regression. */
        NONE,
        /** A temporary cause that is unrelated to any rollout. */
        TRANSIENT,
        /** The traffic of one build, or the combined traffic of two builds. */
        BUILDS
    }

    /**
     * An interval of seconds, given by their indexes in the history.
     *
     * @param from index of the first second
     * @param to index after that of the last second
     */
    record Interval(int from, int to) {}

    static Explanation none() {
        return new Explanation(Cause.NONE, List.of(), 0, Estimate.NONE, 0, null);
    }

    boolean isTransient() {
        return cause == Cause.TRANSIENT;
    }

    boolean involves(int build) {
        return builds.contains(build);
    }

    Explanation withProbability(double newProbability) {
        return new Explanation(cause, builds, newProbability, effect, affectedSeconds, endedInterval);
    }
}
