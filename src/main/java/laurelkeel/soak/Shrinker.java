package laurelkeel.soak;

import java.util.Set;

/** Finds the parts of a run that a failure needs: leaves out one after the other, and keeps out those without which it still fails. */
public final class Shrinker {
    /** Plays a plan; true where a rule is broken. */
    public interface Trial {
        boolean breaks(SoakPlan plan) throws Exception;
    }

    private Shrinker() {}

    /**
     * A plan with fewer parts that still breaks a rule; the same one where each part is needed, or where the failure does not
     * come at every play. As many trials as the plan has parts, the last events first: they mostly come after the failure.
     */
    public static SoakPlan shrink(SoakPlan broken, Trial trial) throws Exception {
        SoakPlan smallest = broken;
        for (int i = broken.parts().size() - 1; i >= 0; i--) {
            SoakPlan smaller = smallest.without(Set.of(broken.parts().get(i)));
            if (trial.breaks(smaller)) {
                smallest = smaller;
            }
        }
        return smallest;
    }
}
