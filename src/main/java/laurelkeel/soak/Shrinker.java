package laurelkeel.soak;

import java.util.List;
import java.util.Set;

/** Reduces a plan to the parts that a failure needs: leaves out one after the other, while the failure still comes. */
public final class Shrinker {
    private Shrinker() {}

    /** Plays plans again. */
    public interface Trial {
        /**
         * Plays a plan and returns whether a rule is broken.
         *
         * @throws Exception where the plan cannot be played
         */
        boolean breaks(SoakPlan plan) throws Exception;
    }

    /**
     * Reduces a plan that breaks a rule. It takes as many trials as the plan has parts, the last events first, for most of
     * them come after the failure.
     *
     * @return a plan with fewer parts that still breaks a rule; the same one where each part is needed, or where the
     *     failure does not come at every play
     * @throws Exception where a trial fails
     */
    public static SoakPlan shrink(SoakPlan broken, Trial trial) throws Exception {
        SoakPlan smallest = broken;
        List<String> parts = broken.parts();
        for (int i = parts.size() - 1; i >= 0; i--) {
            SoakPlan smaller = smallest.without(Set.of(parts.get(i)));
            if (trial.breaks(smaller)) {
                smallest = smaller;
            }
        }
        return smallest;
    }
}
