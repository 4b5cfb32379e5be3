package laurelkeel.front.controlplane;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;

/**
 * One line of the list service's watch, or its answer to a call for the whole list.
 *
 * @param kind full, changes, or beat, which only shows that the service lives
 * @param previous for changes: the version that they change
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record EndpointListMessage(String kind, long version, long previous, List<Machine> machines) {

    /** Why it cannot be followed; null where it can. */
    public String fault() {
        if (!"full".equals(kind) && !"changes".equals(kind)) {
            return "its kind is '" + kind + "'";
        }
        for (Machine m : machines) {
            if (m == null || m.machine == null || m.state == null || m.zone == null) {
                return "a machine without its name, state or zone";
            }
        }
        return null;
    }

    /**
     * One machine.
     *
     * @param zone a name from the front's settings
     * @param state live, draining or gone
     * @param run which start under this address it is
     * @param ageMs how long ago that start was, when the line was written; below 0: long ago
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Machine(
            String machine,
            int build,
            String zone,
            int cell,
            int kind,
            double size,
            String state,
            long run,
            double ageMs) {

        /** The same machine so much later. */
        public Machine aged(double ms) {
            return new Machine(machine, build, zone, cell, kind, size, state, run, ageMs + ms);
        }
    }
}
