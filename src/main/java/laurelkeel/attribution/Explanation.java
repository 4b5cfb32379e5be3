package laurelkeel.attribution;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * One explanation of how the whole fleet did in the last minute.
 *
 * @param builds the builds whose traffic is the cause; none for other causes
 * @param probability beside the other explanations, from 0 to 1
 * @param effect size of the regression, as a level of the measure
 * @param affectedSeconds in how many seconds the regression was large enough to matter
 * @param endedInterval when a transient cause that is over acted, or null
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
        /** Something outside of all rollouts, from one second to another. */
        TRANSIENT,
        /** The traffic of one build, or of two builds together. */
        BUILDS
    }

    /**
     * A span of seconds.
     *
     * @param from first second
     * @param to second after the last
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
