package laurelkeel.soak;

import java.util.List;
import java.util.Set;

/** Reduces a plan to the parts that a failure needs, by excluding each part that the failure still occurs without. */
public final class Shrinker {
    private Shrinker() {}

    /** Executes reduced plans. */
    public interface Trial {
        /**
         * Executes a plan and returns whether a rule is violated.
         *
         * @throws Exception if the plan cannot be executed
         */
        boolean violatesRule(SoakPlan plan) throws Exception;
    }

    /**
     * Reduces a plan that violates a rule. Needs one trial for each part of the plan. Tries the last events first, because
     * most of them come after the failure.
     *
     * @return a plan with fewer parts that still violates a rule; the same plan if each part is needed, or if the failure
     *     does not recur in the trials
     * @throws Exception if a trial cannot be executed
     */
    public static SoakPlan shrink(SoakPlan violatingPlan, Trial trial) throws Exception {
        SoakPlan smallest = violatingPlan;
        List<String> parts = violatingPlan.parts();
        for (int i = parts.size() - 1; i >= 0; i--) {
            SoakPlan smaller = smallest.without(Set.of(parts.get(i)));
            if (trial.violatesRule(smaller)) {
                smallest = smaller;
            }
        }
        return smallest;
    }
}
