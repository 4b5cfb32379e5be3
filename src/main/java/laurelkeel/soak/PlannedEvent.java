package laurelkeel.soak;

import java.util.Locale;

/**
 * One event of a plan.
 *
 * @param number identifies the event in its plan
 * @param atSeconds when the event starts, in seconds since the start of the run
 * @param node index of the affected node
 * @param seed seed of the random details of the event
 */
public record PlannedEvent(int number, double atSeconds, SoakEvent event, int node, long seed) {
    /** Returns the event's name among the parts of its plan. */
    String name() {
        return Integer.toString(number);
    }

    /** Formats the event for a printed plan. */
    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%d: %.1f s %s n%d", number, atSeconds, event, node);
    }
}
