package laurelkeel.soak;

import java.util.Locale;

/**
 * One event of a plan.
 *
 * @param number names it in the plan
 * @param atSeconds since the start of the run
 * @param node index of the node that it concerns
 * @param seed its details are drawn from this
 */
public record PlannedEvent(int number, double atSeconds, SoakEvent event, int node, long seed) {
    /** The event's name among the parts of its plan. */
    String name() {
        return Integer.toString(number);
    }

    /** The event in a printed plan. */
    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%d: %.1f s %s n%d", number, atSeconds, event, node);
    }
}
