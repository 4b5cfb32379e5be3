package laurelkeel.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** A plan depends only on its seed, and is reduced to the parts that a failure needs. */
class ShrinkerTest {
    private static final int SECONDS = 20;

    @Test
    void aSeedAlwaysGivesTheSamePlan() {
        assertEquals(SoakPlan.generate(7, 0, SECONDS), SoakPlan.generate(7, 0, SECONDS));
        List<SoakPlan> plans = new ArrayList<>();
        for (long seed = 0; seed < 50; seed++) {
            plans.add(SoakPlan.generate(seed, 0, SECONDS));
        }
        assertTrue(plans.stream().anyMatch(plan -> !plan.clockSteps().isEmpty()));
        assertTrue(plans.stream().anyMatch(plan -> plan.callFaults().startsWith("open:")));
    }

    @Test
    void eventsComeAfterTheQuietPhase() {
        assertTrue(SoakPlan.generate(7, 30, SECONDS).events().stream()
                .allMatch(event -> event.atSeconds() > 30 && event.atSeconds() < 30 + SECONDS));
    }

    @Test
    void onlyThePartsThatTheFailureNeedsRemain() throws Exception {
        SoakPlan plan = SoakPlan.generate(7, 0, SECONDS);
        List<String> needed = List.of("2", "5");
        SoakPlan shrunk = Shrinker.shrink(plan, each -> each.parts().containsAll(needed));
        assertEquals(needed, shrunk.parts());
        assertEquals(shrunk, plan.without(shrunk.excludedParts()), "its command line gives the same plan");
    }

    @Test
    void aFailureThatDoesNotRecurLeavesThePlanUnchanged() throws Exception {
        SoakPlan plan = SoakPlan.generate(7, 0, SECONDS);
        assertEquals(plan, Shrinker.shrink(plan, each -> false));
    }

    @Test
    void excludedPartsArePrinted() {
        SoakPlan plan = SoakPlan.generate(7, 0, SECONDS).without(Set.of("1"));
        assertTrue(plan.toString().endsWith("left out: 1"), plan.toString());
    }
}
